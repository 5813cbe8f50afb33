/// Tests which targets are in use while targets, the store and peers fail and
/// recover.
#include "core/view/live_view.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "core/view/sample_publication.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr auto kFlowLife = 60s;

/// A view with one target of one service, listed from a reachable store.
struct ViewFixture {
  ViewFixture() : view(publication, kFlowLife) {
    this->view.Contact().OnAnswer(0ms);
    this->view.OnListing(
        {{"configuration",
          {1},
          "1 198.18.0.1:443=diary 198.18.0.2:443=handover"},
         {"target/a1", {2}, TargetText("diary", "north", "10.0.0.1:80")}},
        {2}, 0ms);
  }

  TargetPhase PhaseOf(std::uint32_t word) {
    return this->view.Targets().Find({word})->phase;
  }
  void Remove(std::chrono::milliseconds now) {
    this->view.OnChanges({{{"target/a1", {3}, std::nullopt}}, {3}}, now);
  }

  SamplePublication publication;
  LiveView view;
};

// Guards against deferring removals, and so using ended targets, although the
// store is reachable.
BOOST_AUTO_TEST_CASE(
    a_removal_is_applied_at_once_while_the_store_is_reachable) {
  ViewFixture fixture;
  fixture.view.Contact().OnAnswer(1000ms);

  fixture.Remove(1000ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kGone));
  BOOST_TEST(fixture.view.Targets().Serving("diary").empty());
}

// Guards against removing all targets after an outage of the store. Their
// entries expire in it although they serve. After it the removals arrive first,
// and the targets' new entries up to two seconds later.
BOOST_AUTO_TEST_CASE(entries_that_expired_in_a_store_outage_stay_in_use) {
  ViewFixture fixture;
  fixture.view.Contact().OnFailure();
  fixture.view.Contact().OnAnswer(5000ms);

  fixture.Remove(5000ms);
  fixture.view.OnTick(7000ms);
  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));

  fixture.view.OnChanges(
      {{{"target/a1", {4}, TargetText("diary", "north", "10.0.0.1:80")}}, {4}},
      7000ms);
  fixture.view.OnTick(9000ms);
  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));
}

/// An instance that reads the store for the first time in a while.
struct FirstCallRow {
  std::string name;
  std::chrono::milliseconds view_age;  ///< Of the copy that a peer gave it.
  bool call_failed;  ///< An own call failed before the first that was served.
  bool deferred;     ///< Removals of entries are.
};

std::ostream& operator<<(std::ostream& out, const FirstCallRow& row) {
  return out << row.name;
}

const FirstCallRow kFirstCalls[] = {
    {"started in an outage", 2000ms, true, true},
    {"started at the end of an outage", 2000ms, false, true},
    {"refused by the store, as its peers aren't", 300ms, true, false},
    {"started while the store was reachable", 300ms, false, false},
};

// Guards against removing all targets, and resetting their flows on every
// instance of the domain, because the first of them to read the store after an
// outage has started during it.
BOOST_DATA_TEST_CASE(a_first_call_after_an_outage_removes_no_targets,
                     kFirstCalls, row) {
  SamplePublication publication;
  LiveView view(publication, kFlowLife);
  const auto now = 10'000ms;
  view.OnPeerItems(
      {{0},
       {2},
       true,
       {{"configuration", {1}, "1 198.18.0.1:443=diary"},
        {"target/a1", {2}, TargetText("diary", "north", "10.0.0.1:80")}}},
      now - 100ms);
  view.Contact().OnConfirmed(now - row.view_age, now);
  if (row.call_failed) {
    view.Contact().OnFailure();
  }

  view.Contact().OnAnswer(now);
  view.OnChanges({{{"target/a1", {3}, std::nullopt}}, {3}}, now);

  BOOST_TEST(view.Targets().Serving("diary").empty() == !row.deferred);
  // Peers that take its view learn of the outage, too.
  BOOST_TEST(view.Contact().ReturnedAt().has_value() == row.deferred);
}

// Guards against using a target for ever that ended during an outage of the
// store.
BOOST_AUTO_TEST_CASE(an_entry_that_is_not_published_again_is_gone) {
  ViewFixture fixture;
  fixture.view.Contact().OnFailure();
  fixture.view.Contact().OnAnswer(5000ms);
  fixture.Remove(5000ms);

  fixture.view.Contact().OnAnswer(4999ms + kReturnSettle);
  fixture.view.OnTick(4999ms + kReturnSettle);
  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));

  fixture.view.Contact().OnAnswer(5000ms + kReturnSettle);
  fixture.view.OnTick(5000ms + kReturnSettle);
  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kGone));
}

// Guards against resetting flows that are served: an instance sees the removal
// of an expired entry, and then loses the store and its peers. It can't know
// whether the target has registered again.
BOOST_AUTO_TEST_CASE(a_deferred_removal_needs_a_confirmed_view) {
  ViewFixture fixture;
  fixture.view.Contact().OnFailure();
  fixture.view.Contact().OnAnswer(5000ms);
  fixture.Remove(5000ms);

  fixture.view.OnTick(5000ms + 2 * kReturnSettle);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));
}

// Guards against sending new flows to a drained target because its removal is
// deferred. The store refuses only this instance, and peers report the removal,
// so no entry has expired.
BOOST_AUTO_TEST_CASE(a_removal_from_a_fresh_peer_is_applied_at_once) {
  ViewFixture fixture;
  fixture.view.Contact().OnFailure();
  fixture.view.Contact().OnConfirmed(5000ms, 5000ms);

  fixture.view.OnPeerItems(
      {{2}, {3}, false, {{"target/a1", {3}, std::nullopt}}}, 5100ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kGone));
}

struct EntryRow {
  std::string value;
  TargetPhase phase;
};

std::ostream& operator<<(std::ostream& out, const EntryRow& row) {
  return out << row.value;
}

const EntryRow kEntries[] = {
    {"bytes", TargetPhase::kUnreadable},
    {"diary north 10.0.0.1:80 draining", TargetPhase::kDraining},
    {"diary north 10.0.0.1:80", TargetPhase::kServing},
};

// Guards against ending the open flows of a target that is draining or whose
// entry another program has overwritten with bytes that can't be decoded. These
// don't show that the target has ended; it only gets no new flows.
BOOST_DATA_TEST_CASE(a_changed_entry_affects_new_flows_only, kEntries, row) {
  ViewFixture fixture;

  fixture.view.OnChanges({{{"target/a1", {3}, row.value}}, {3}}, 100ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == row.phase));
  BOOST_TEST((fixture.view.Targets().Serving("diary").size() == 1U) ==
             (row.phase == TargetPhase::kServing));
}

// Guards against flows that hang because their target has crashed while its
// entry is still published. A new target at its address proves that it ended.
BOOST_AUTO_TEST_CASE(a_new_target_at_an_address_ends_its_predecessor) {
  ViewFixture fixture;

  fixture.view.OnChanges(
      {{{"target/b2", {3}, TargetText("handover", "north", "10.0.0.1:80")}},
       {3}},
      100ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kGone));
  BOOST_TEST(fixture.view.Targets().Find({0xA1})->replaced);
  BOOST_TEST((fixture.PhaseOf(0xB2) == TargetPhase::kServing));
}

/// Two entries with the same address, as an instance that has just started gets
/// them: sorted by key, not by their time of publication.
struct AddressReuseRow {
  const char* crashed;    ///< The key of the target that has ended.
  const char* successor;  ///< The key of the one that has its address now.
  bool from_peer;
};

std::ostream& operator<<(std::ostream& out, const AddressReuseRow& row) {
  return out << row.crashed << " before " << row.successor
             << (row.from_peer ? ", from a peer" : ", from the store");
}

const AddressReuseRow kAddressReuses[] = {{"target/b1", "target/c2", false},
                                          {"target/c2", "target/b1", false},
                                          {"target/b1", "target/c2", true},
                                          {"target/c2", "target/b1", true}};

std::uint32_t WordOf(const std::string& key) {
  return static_cast<std::uint32_t>(
      std::stoul(key.substr(key.find('/') + 1), nullptr, 16));
}

// Guards against resetting flows of a live target: a starting instance must not
// treat it as replaced because its predecessor's entry is listed after it.
BOOST_DATA_TEST_CASE(the_successor_at_an_address_keeps_serving, kAddressReuses,
                     row) {
  ViewFixture fixture;
  std::vector<Item> items{
      {"configuration", {1}, "1 198.18.0.1:443=diary"},
      {row.crashed, {3}, TargetText("diary", "north", "10.0.0.2:80")},
      {row.successor, {4}, TargetText("handover", "north", "10.0.0.2:80")}};
  std::ranges::sort(items, {}, &Item::key);

  if (row.from_peer) {
    fixture.view.OnPeerItems({{0}, {5}, true, items}, 100ms);
  } else {
    fixture.view.OnListing(items, {5}, 100ms);
  }

  BOOST_TEST((fixture.PhaseOf(WordOf(row.successor)) == TargetPhase::kServing));
  BOOST_TEST((fixture.PhaseOf(WordOf(row.crashed)) == TargetPhase::kGone));
  BOOST_TEST(fixture.view.Targets().Find({WordOf(row.crashed)})->replaced);
  BOOST_TEST(fixture.view.Targets().ServingCount() == 1U);
}

// Guards against treating a target as replaced when it has moved and another
// target gets its former address.
BOOST_AUTO_TEST_CASE(a_target_that_moved_outlives_the_next_at_its_address) {
  ViewFixture fixture;
  fixture.view.OnChanges(
      {{{"target/a1", {3}, TargetText("diary", "north", "10.0.0.9:80")}}, {3}},
      100ms);

  fixture.view.OnChanges(
      {{{"target/b2", {4}, TargetText("handover", "north", "10.0.0.1:80")}},
       {4}},
      200ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));
  BOOST_TEST((fixture.PhaseOf(0xB2) == TargetPhase::kServing));
}

/// How an instance learns of a write that the store applies late.
struct LateWriteRow {
  const char* name;
  bool from_peer;
  bool listed;  ///< In a listing or full copy; else as a change.
};

std::ostream& operator<<(std::ostream& out, const LateWriteRow& row) {
  return out << row.name;
}

const LateWriteRow kLateWrites[] = {
    {"watched", false, false},
    {"listed", false, true},
    {"a peer's changes", true, false},
    {"a peer's copy", true, true},
};

// Guards against ending a live target because the store applies a write of the
// previous target at its address late, and against keeping it ended after that
// entry has expired.
BOOST_DATA_TEST_CASE(a_late_write_of_a_crashed_target_ends_no_successor,
                     kLateWrites, row) {
  ViewFixture fixture;
  const Item late{
      "target/b1", {5}, TargetText("diary", "north", "10.0.0.2:80 start=1000")};
  const Item successor{
      "target/c2",
      {4},
      TargetText("handover", "north", "10.0.0.2:80 start=9000")};
  const auto apply = [&](std::optional<Item> change, std::uint64_t revision) {
    std::vector<Item> items{successor};
    if (row.listed) {
      items.push_back({"configuration", {1}, "1 198.18.0.1:443=diary"});
    }
    if (change && (change->value || !row.listed)) {
      items.push_back(*change);
    }
    const auto now = std::chrono::milliseconds{revision * 1000};
    fixture.view.Contact().OnAnswer(now);
    if (row.from_peer) {
      fixture.view.OnPeerItems({{0}, {revision}, row.listed, items}, now);
    } else if (row.listed) {
      fixture.view.OnListing(items, {revision}, now);
    } else {
      fixture.view.OnChanges({items, {revision}}, now);
    }
  };
  apply(std::nullopt, 4);

  apply(late, 5);
  BOOST_TEST((fixture.PhaseOf(0xC2) == TargetPhase::kServing));
  BOOST_TEST((fixture.PhaseOf(0xB1) == TargetPhase::kGone));
  BOOST_TEST(fixture.view.Targets().Find({0xB1})->replaced_by == "target/c2");

  apply(Item{"target/b1", {6}, std::nullopt}, 6);
  BOOST_TEST((fixture.PhaseOf(0xC2) == TargetPhase::kServing));
  BOOST_TEST(fixture.view.Targets().Serving("handover").size() == 1U);
}

// Guards against keeping a target ended after the entry that seemed to show its
// end was removed, where no target publishes its start.
BOOST_AUTO_TEST_CASE(a_target_is_back_when_the_other_at_its_address_leaves) {
  ViewFixture fixture;
  fixture.view.OnChanges(
      {{{"target/b2", {3}, TargetText("handover", "north", "10.0.0.1:80")}},
       {3}},
      100ms);
  fixture.view.TakeChanges();

  fixture.view.OnChanges({{{"target/b2", {4}, std::nullopt}}, {4}}, 200ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));
  BOOST_TEST(!fixture.view.Targets().Find({0xA1})->replaced);
  BOOST_TEST(fixture.view.Targets().Serving("diary").size() == 1U);
}

/// A write of a target's past that the store applies late. The target started
/// at 10 s; its last write was its tenth and published it as draining at
/// 10.0.0.2:80.
struct PastWriteRow {
  const char* name;
  std::string value;
  bool removed;  ///< Its entry had been removed before.
  TargetPhase phase;
};

std::ostream& operator<<(std::ostream& out, const PastWriteRow& row) {
  return out << row.name;
}

const PastWriteRow kPastWrites[] = {
    {"earlier in this life", "10.0.0.2:80 start=10000 seq=9", false,
     TargetPhase::kDraining},
    {"earlier in this life, after its end", "10.0.0.2:80 start=10000 seq=9",
     true, TargetPhase::kDraining},
    {"of a former life", "10.0.0.9:80 start=1000 seq=70", false,
     TargetPhase::kDraining},
    {"later in this life", "10.0.0.2:80 start=10000 seq=11", false,
     TargetPhase::kServing},
    {"of the next life", "10.0.0.2:80 start=60000 seq=1", false,
     TargetPhase::kServing},
    {"of a life whose start clocks can't order", "10.0.0.2:80 start=9000 seq=1",
     false, TargetPhase::kServing},
    {"without a start", "10.0.0.2:80 seq=9", false, TargetPhase::kServing},
};

// Guards against new flows to a target that has reported to be draining, and
// against using its former address, because an earlier write is applied late.
BOOST_DATA_TEST_CASE(a_write_of_a_targets_past_changes_nothing, kPastWrites,
                     row) {
  ViewFixture fixture;
  const auto publish = [&fixture](std::uint64_t revision,
                                  std::optional<std::string> value) {
    fixture.view.OnChanges({{{"target/c1", {revision}, value}}, {revision}},
                           100ms);
  };
  publish(3, TargetText("diary", "north",
                        "10.0.0.2:80 draining start=10000 seq=10"));
  if (row.removed) {
    publish(4, std::nullopt);
  }

  publish(5, TargetText("diary", "north", row.value));

  BOOST_TEST((fixture.PhaseOf(0xC1) == row.phase));
  const PublishedTarget& target =
      fixture.view.Targets().Find({0xC1})->published;
  BOOST_TEST(target.address.ToString() == "10.0.0.2:80");
  BOOST_TEST(target.revision.value == 5U);
}

/// An entry of a service that no configuration names, at the address of a
/// living target.
struct ForeignEntryRow {
  const char* name;
  const char* key;
  std::string start;          ///< Words of the target's entry.
  std::string foreign_start;  ///< Words of the foreign one.
};

std::ostream& operator<<(std::ostream& out, const ForeignEntryRow& row) {
  return out << row.name;
}

const ForeignEntryRow kForeignEntries[] = {
    {"no starts", "target/b2", "", ""},
    {"a start in the foreign entry only", "target/b2", "", " start=90000"},
    {"a later start", "target/b2", " start=1000", " start=90000"},
    {"the same number", "target/0a1", " start=90000", " start=1000"},
};

// Guards against an entry of another program that ends a living target.
BOOST_DATA_TEST_CASE(an_entry_of_an_unnamed_service_ends_no_target,
                     kForeignEntries, row) {
  ViewFixture fixture;
  const std::string address = "10.0.0.1:80";
  fixture.view.OnChanges(
      {{{"target/a1", {3}, TargetText("diary", "north", address + row.start)}},
       {3}},
      50ms);

  fixture.view.OnChanges(
      {{{row.key,
         {4},
         TargetText("menu", "north", address + row.foreign_start)}},
       {4}},
      100ms);

  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));
  BOOST_TEST(fixture.view.Targets().Serving("diary").size() == 1U);
  BOOST_TEST(fixture.view.Targets().Serving("menu").empty());
}

// Guards against ending a target that another instance already uses, as the
// configuration that names its service is on its way, and against keeping its
// predecessor once the configuration is there.
BOOST_AUTO_TEST_CASE(a_successor_of_a_new_service_waits_for_its_configuration) {
  ViewFixture fixture;
  fixture.view.OnChanges(
      {{{"target/b1",
         {3},
         TargetText("diary", "north", "10.0.0.2:80 start=1000")},
        {"target/c2",
         {4},
         TargetText("menu", "north", "10.0.0.2:80 start=60000")}},
       {4}},
      100ms);
  BOOST_TEST((fixture.PhaseOf(0xB1) == TargetPhase::kServing));
  BOOST_TEST((fixture.PhaseOf(0xC2) == TargetPhase::kShadowed));

  fixture.view.OnChanges(
      {{{"configuration", {5}, "2 198.18.0.1:443=diary,menu"}}, {5}}, 200ms);

  BOOST_TEST((fixture.PhaseOf(0xB1) == TargetPhase::kGone));
  BOOST_TEST((fixture.PhaseOf(0xC2) == TargetPhase::kServing));
}

// Guards against a target that gets no new flows for as long as it lives
// because another one with the same word existed when it was published.
BOOST_AUTO_TEST_CASE(a_target_takes_flows_once_its_word_is_free) {
  TargetTable table(60s);
  PublishedTarget target{
      {0xA1}, "diary", "north", *common::Endpoint::Parse("10.0.0.1:80")};
  table.Publish("first", target, 0ms);
  target.address.port = 81;
  table.Publish("second", target, 0ms);

  table.Remove("first", 1000ms, std::nullopt);

  BOOST_REQUIRE(table.Serving("diary").size() == 1U);
  BOOST_TEST(table.At(table.Serving("diary").front()).name == "second");
}

// Guards against an instance that ends by an exception: the address that a
// target left is used again after the target has been erased.
BOOST_AUTO_TEST_CASE(an_address_that_a_target_left_can_be_used_again) {
  ViewFixture fixture;
  const auto change = [&fixture](const Item& item,
                                 std::chrono::milliseconds now) {
    fixture.view.Contact().OnAnswer(now);
    fixture.view.OnChanges({{item}, item.revision}, now);
    fixture.view.OnTick(now);
  };
  change({"target/a1", {3}, TargetText("diary", "north", "10.0.0.2:80")},
         1000ms);
  change({"target/a1", {4}, std::nullopt}, 2000ms);
  change({"target/c3", {5}, TargetText("diary", "north", "10.0.0.3:80")},
         2001ms + kFlowLife);
  BOOST_REQUIRE(fixture.view.Targets().Find({0xA1}) == nullptr);

  change({"target/b2", {6}, TargetText("diary", "north", "10.0.0.1:80")},
         2002ms + kFlowLife);

  BOOST_TEST((fixture.PhaseOf(0xB2) == TargetPhase::kServing));
}

// Guards against misdirected packets when two numbers yield the same word: new
// flows of the later target would go to the earlier one.
BOOST_AUTO_TEST_CASE(the_later_of_two_targets_with_one_word_takes_no_flows) {
  TargetTable table(60s);
  PublishedTarget target{
      {0xA1}, "diary", "north", *common::Endpoint::Parse("10.0.0.1:80")};
  table.Publish("first", target, 0ms);
  target.address.port = 81;
  table.Publish("second", target, 0ms);

  BOOST_REQUIRE(table.Serving("diary").size() == 1U);
  BOOST_TEST(table.At(table.Serving("diary").front()).name == "first");

  table.Remove("first", 1000ms, std::nullopt);
  table.Publish("second", target, 1000ms);
  BOOST_REQUIRE(table.Serving("diary").size() == 1U);
  BOOST_TEST(table.At(table.Serving("diary").front()).name == "second");
}

struct MoveRow {
  std::string service;
  std::string domain;
};

std::ostream& operator<<(std::ostream& out, const MoveRow& row) {
  return out << row.service << " in " << row.domain;
}

const MoveRow kMoves[] = {
    {"diary", "south"}, {"handover", "north"}, {"handover", "south"}};

// Guards against a target that stays in the list of its former service or
// failure domain after a restart with the same ID, and gets new flows there for
// ever, even after its entry is erased.
BOOST_DATA_TEST_CASE(a_target_that_moves_is_listed_in_one_place, kMoves, row) {
  TargetTable table(60s);
  PublishedTarget target{
      {0xA1}, "diary", "north", *common::Endpoint::Parse("10.0.0.1:80")};
  table.Publish("first", target, 0ms);

  target.service = row.service;
  target.domain = row.domain;
  table.Publish("first", target, 10ms);
  BOOST_TEST(table.ServingCount() == 1U);
  BOOST_REQUIRE(table.ServingByDomain(row.service).contains(row.domain));

  table.Remove("first", 20ms, std::nullopt);
  BOOST_TEST(table.ServingCount() == 0U);
}

// Guards against a table that grows with every restart. Targets that have ended
// are kept only as long as packets of their flows may still arrive.
BOOST_AUTO_TEST_CASE(a_target_that_is_gone_is_erased_in_the_end) {
  ViewFixture fixture;
  fixture.view.Contact().OnAnswer(900ms);
  fixture.Remove(1000ms);
  fixture.view.OnTick(60s);
  BOOST_TEST(fixture.view.Targets().Find({0xA1}) != nullptr);

  fixture.view.OnTick(62s);

  BOOST_TEST(fixture.view.Targets().Find({0xA1}) == nullptr);
  BOOST_TEST(fixture.view.Targets().TakeErased().size() == 1U);
}

/// How an instance learns that an evacuation has been lifted.
struct LiftRow {
  std::string name;
  bool by_listing;  ///< A listing lacks it; else its removal is watched.
  bool store_away;  ///< The store was away before, so entries may expire.
  bool from_peer;
};

std::ostream& operator<<(std::ostream& out, const LiftRow& row) {
  return out << row.name;
}

const LiftRow kLifts[] = {
    {"watched", false, false, false},
    {"listed, as the history is gone", true, false, false},
    {"watched after an outage", false, true, false},
    {"listed after an outage", true, true, false},
    {"a peer's changes", false, false, true},
    {"a peer's copy after an outage", true, true, true},
};

// Guards against an evacuation that is taken for an expired entry and kept in
// force after it was lifted, and against one that is dropped in an outage.
BOOST_DATA_TEST_CASE(an_evacuation_lasts_until_a_view_lacks_it, kLifts, row) {
  const auto now = 10'000ms;
  const std::vector<Item> left{
      {"configuration", {1}, "1 198.18.0.1:443=diary"},
      {"target/a1", {2}, TargetText("diary", "north", "10.0.0.1:80")}};
  ViewFixture fixture;
  fixture.view.OnChanges({{{"evacuation/north", {3}, "{}"}}, {3}}, 10ms);
  if (row.store_away) {
    fixture.view.Contact().OnFailure();
    fixture.view.OnTick(now - 1000ms);
  }
  BOOST_TEST(fixture.view.Targets().IsEvacuated("north"));
  BOOST_TEST(fixture.view.Targets().ServingCount() == 0U);
  BOOST_TEST((fixture.PhaseOf(0xA1) == TargetPhase::kServing));

  fixture.view.Contact().OnAnswer(now);
  if (row.from_peer) {
    std::vector<Item> items = left;
    if (!row.by_listing) {
      items = {{"evacuation/north", {4}, std::nullopt}};
    }
    fixture.view.OnPeerItems({{3}, {4}, row.by_listing, items}, now);
  } else if (row.by_listing) {
    fixture.view.OnListing(left, {4}, now);
  } else {
    fixture.view.OnChanges({{{"evacuation/north", {4}, std::nullopt}}, {4}},
                           now);
  }

  BOOST_TEST(!fixture.view.Targets().IsEvacuated("north"));
  BOOST_TEST(fixture.view.Targets().ServingCount() == 1U);
}

// Guards against an evacuation that only instances with a complete history
// know: one that starts gets it from a listing or a peer's copy, in any order
// of the items, and items may be listed twice.
BOOST_AUTO_TEST_CASE(a_starting_instance_learns_of_evacuations) {
  const std::vector<Item> items{
      {"configuration", {1}, "1 198.18.0.1:443=diary"},
      {"evacuation/north", {3}, "{}"},
      {"evacuation/north", {3}, "{}"},
      {"target/a1", {2}, TargetText("diary", "north", "10.0.0.1:80")},
      {"target/b1", {4}, TargetText("diary", "south", "10.0.0.2:80")}};
  for (const bool from_peer : {false, true}) {
    SamplePublication publication;
    LiveView view(publication, kFlowLife);
    if (from_peer) {
      view.OnPeerItems({{0}, {5}, true, items}, 10ms);
    } else {
      view.OnListing(items, {5}, 10ms);
    }

    BOOST_TEST(view.Targets().ServingCount() == 1U);
    BOOST_TEST(!view.Targets().ServingByDomain("diary").contains("north"));
  }
}

// Guards against another writer's bytes that evacuate a domain, or lift an
// evacuation that is in force.
BOOST_AUTO_TEST_CASE(an_unreadable_evacuation_changes_nothing) {
  ViewFixture fixture;
  fixture.view.OnChanges({{{"evacuation/north", {3}, "bytes"}}, {3}}, 10ms);
  BOOST_TEST(fixture.view.Targets().ServingCount() == 1U);

  fixture.view.OnChanges({{{"evacuation/north", {4}, "{}"}}, {4}}, 20ms);
  fixture.view.TakeChanges();
  fixture.view.OnChanges({{{"evacuation/north", {5}, "bytes"}}, {5}}, 30ms);
  BOOST_TEST(fixture.view.Targets().ServingCount() == 0U);
  const std::vector<ViewChange> changes = fixture.view.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(std::get<ItemUnreadable>(changes[0]).key == "evacuation/north");

  fixture.view.OnChanges({{{"evacuation/north", {6}, std::nullopt}}, {6}},
                         40ms);
  BOOST_TEST(fixture.view.Targets().ServingCount() == 1U);
}

// Guards against an evacuation that nobody can find in the log.
BOOST_AUTO_TEST_CASE(an_evacuation_is_reported_once) {
  ViewFixture fixture;
  fixture.view.TakeChanges();

  fixture.view.OnChanges({{{"evacuation/north", {3}, "{}"}}, {3}}, 10ms);
  fixture.view.OnChanges({{{"evacuation/north", {4}, "{}"}}, {4}}, 20ms);
  fixture.view.OnChanges({{{"evacuation/north", {5}, std::nullopt}}, {5}},
                         30ms);

  const std::vector<ViewChange> changes = fixture.view.TakeChanges();
  BOOST_REQUIRE(changes.size() == 2U);
  const auto& begun = std::get<EvacuationChange>(changes[0]);
  BOOST_TEST(begun.in_force);
  BOOST_TEST(begun.domain == "north");
  BOOST_TEST(begun.targets == 1U);
  BOOST_TEST(begun.revision.value == 3U);
  const auto& lifted = std::get<EvacuationChange>(changes[1]);
  BOOST_TEST(!lifted.in_force);
  BOOST_TEST(lifted.targets == 1U);
}

struct NumberRow {
  std::uint64_t number;
  std::uint32_t word;
};

std::ostream& operator<<(std::ostream& out, const NumberRow& row) {
  return out << row.number;
}

const NumberRow kNumbers[] = {{0xA1, 0xA1}, {UINT32_MAX, UINT32_MAX}};

// Guards against hashing 32-bit numbers, which could then collide.
BOOST_DATA_TEST_CASE(a_short_number_is_its_own_word, kNumbers, row) {
  BOOST_TEST(WordFor({row.number}).value == row.word);
}

const std::uint64_t kOtherNumbers[] = {0, 0x100000000, UINT64_MAX};

// Guards against a target with word 0, which stands for no target.
BOOST_DATA_TEST_CASE(no_number_yields_word_zero, kOtherNumbers, number) {
  BOOST_TEST(WordFor({number}).value != 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core

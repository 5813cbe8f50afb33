/// What an instance believes while targets, the store and peers come and go.
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

constexpr auto kLife = 60s;

/// A view with one target of one service, read from a store that answers.
struct Scene {
  Scene() : view(publication, kLife) {
    this->view.Contact().OnAnswer(0ms);
    this->view.OnListing(
        {{"configuration", {1}, "1 198.18.0.1:443=diary"},
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

BOOST_AUTO_TEST_CASE(a_removal_counts_at_once_while_the_store_is_there) {
  Scene scene;
  scene.view.Contact().OnAnswer(1000ms);

  scene.Remove(1000ms);

  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kGone));
  BOOST_TEST(scene.view.Targets().Serving("diary").empty());
}

// The store is down for five seconds. Targets can't renew their entries, so
// the entries lapse although the targets serve. When the store is back, the
// removals are seen first, and the targets' new entries up to two seconds
// later. Believed at once, the removals would leave callers with nobody.
BOOST_AUTO_TEST_CASE(entries_that_lapsed_while_the_store_was_away_stay_in_use) {
  Scene scene;
  scene.view.Contact().OnFailure();
  scene.view.Contact().OnAnswer(5000ms);

  scene.Remove(5000ms);
  scene.view.OnTick(7000ms);
  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kServing));

  scene.view.OnChanges(
      {{{"target/a1", {4}, TargetText("diary", "north", "10.0.0.1:80")}}, {4}},
      7000ms);
  scene.view.OnTick(9000ms);
  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kServing));
}

BOOST_AUTO_TEST_CASE(an_entry_that_does_not_come_back_is_gone) {
  Scene scene;
  scene.view.Contact().OnFailure();
  scene.view.Contact().OnAnswer(5000ms);
  scene.Remove(5000ms);

  scene.view.Contact().OnAnswer(4999ms + kReturnSettle);
  scene.view.OnTick(4999ms + kReturnSettle);
  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kServing));

  scene.view.Contact().OnAnswer(5000ms + kReturnSettle);
  scene.view.OnTick(5000ms + kReturnSettle);
  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kGone));
}

// An instance sees the removal of a lapsed entry, and then loses the store and
// its peers before the target has registered again. Whether it has, the
// instance can't know; resetting the flows would end ones that are served.
BOOST_AUTO_TEST_CASE(a_held_removal_is_not_believed_without_news) {
  Scene scene;
  scene.view.Contact().OnFailure();
  scene.view.Contact().OnAnswer(5000ms);
  scene.Remove(5000ms);

  scene.view.OnTick(5000ms + 2 * kReturnSettle);

  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kServing));
}

// The store refuses this instance and serves the others, who tell it of a
// target that has left. Nothing has lapsed, so the removal counts at once;
// waiting would send new work to a target that has drained.
BOOST_AUTO_TEST_CASE(a_removal_from_a_fresh_peer_counts_at_once) {
  Scene scene;
  scene.view.Contact().OnFailure();
  scene.view.Contact().OnConfirmed(5000ms);

  scene.view.OnPeerItems({{2}, {3}, false, {{"target/a1", {3}, std::nullopt}}},
                         5100ms);

  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kGone));
}

struct Entry {
  std::string value;
  TargetPhase phase;
};

std::ostream& operator<<(std::ostream& out, const Entry& row) {
  return out << row.value;
}

const Entry kEntries[] = {
    {"bytes", TargetPhase::kUnreadable},
    {"diary north 10.0.0.1:80 draining", TargetPhase::kDraining},
    {"diary north 10.0.0.1:80", TargetPhase::kServing},
};

// Another writer leaves bytes that can't be read under a target's key. The
// target gets no new flows from then on, but its open ones go on: the bytes
// don't say that it has ended.
BOOST_DATA_TEST_CASE(an_entry_decides_about_new_flows_only, kEntries, row) {
  Scene scene;

  scene.view.OnChanges({{{"target/a1", {3}, row.value}}, {3}}, 100ms);

  BOOST_TEST((scene.PhaseOf(0xA1) == row.phase));
  BOOST_TEST((scene.view.Targets().Serving("diary").size() == 1U) ==
             (row.phase == TargetPhase::kServing));
}

// A target dies without a word, and its address goes to a target of another
// service while its own entry is still published. The newcomer proves the end.
BOOST_AUTO_TEST_CASE(a_newcomer_at_an_address_ends_its_predecessor) {
  Scene scene;

  scene.view.OnChanges(
      {{{"target/b2", {3}, TargetText("handover", "north", "10.0.0.1:80")}},
       {3}},
      100ms);

  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kGone));
  BOOST_TEST(scene.view.Targets().Find({0xA1})->replaced);
  BOOST_TEST((scene.PhaseOf(0xB2) == TargetPhase::kServing));
}

/// Two entries at one address, as an instance that has just started gets them:
/// sorted by key, whichever target came first.
struct Reuse {
  const char* crashed;    ///< The key of the target that has ended.
  const char* successor;  ///< The key of the one that has its address now.
  bool from_peer;
};

std::ostream& operator<<(std::ostream& out, const Reuse& row) {
  return out << row.crashed << " before " << row.successor
             << (row.from_peer ? ", from a peer" : ", from the store");
}

const Reuse kReuses[] = {{"target/b1", "target/c2", false},
                         {"target/c2", "target/b1", false},
                         {"target/b1", "target/c2", true},
                         {"target/c2", "target/b1", true}};

std::uint32_t WordOf(const std::string& key) {
  return static_cast<std::uint32_t>(
      std::stoul(key.substr(key.find('/') + 1), nullptr, 16));
}

// Guards against a reset of flows whose target lives: an instance that starts
// takes the target for replaced, as its predecessor's entry is listed after it.
BOOST_DATA_TEST_CASE(the_successor_at_an_address_lives, kReuses, row) {
  Scene scene;
  std::vector<Item> items{
      {"configuration", {1}, "1 198.18.0.1:443=diary"},
      {row.crashed, {3}, TargetText("diary", "north", "10.0.0.2:80")},
      {row.successor, {4}, TargetText("handover", "north", "10.0.0.2:80")}};
  std::ranges::sort(items, {}, &Item::key);

  if (row.from_peer) {
    scene.view.OnPeerItems({{0}, {5}, true, items}, 100ms);
  } else {
    scene.view.OnListing(items, {5}, 100ms);
  }

  BOOST_TEST((scene.PhaseOf(WordOf(row.successor)) == TargetPhase::kServing));
  BOOST_TEST((scene.PhaseOf(WordOf(row.crashed)) == TargetPhase::kGone));
  BOOST_TEST(scene.view.Targets().Find({WordOf(row.crashed)})->replaced);
  BOOST_TEST(scene.view.Targets().ServingCount() == 1U);
}

// Guards against a target that is taken for replaced though it has moved: its
// former address goes to another target.
BOOST_AUTO_TEST_CASE(a_target_that_moved_outlives_the_next_at_its_address) {
  Scene scene;
  scene.view.OnChanges(
      {{{"target/a1", {3}, TargetText("diary", "north", "10.0.0.9:80")}}, {3}},
      100ms);

  scene.view.OnChanges(
      {{{"target/b2", {4}, TargetText("handover", "north", "10.0.0.1:80")}},
       {4}},
      200ms);

  BOOST_TEST((scene.PhaseOf(0xA1) == TargetPhase::kServing));
  BOOST_TEST((scene.PhaseOf(0xB2) == TargetPhase::kServing));
}

// Two ids may give the same word. The later one must not take new flows: their
// packets would go to the earlier one.
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

struct Move {
  std::string service;
  std::string domain;
};

std::ostream& operator<<(std::ostream& out, const Move& row) {
  return out << row.service << " in " << row.domain;
}

const Move kMoves[] = {
    {"diary", "south"}, {"handover", "north"}, {"handover", "south"}};

// A target starts again under its id, for another service or in another failure
// domain, and later leaves. Left on its old list it would be given new flows
// there for ever, also when it has long been forgotten.
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

// Flows of a target that is gone still come for a while, and are told so; after
// that the table forgets it, or it would grow with every restart.
BOOST_AUTO_TEST_CASE(a_target_that_is_gone_is_forgotten_in_the_end) {
  Scene scene;
  scene.view.Contact().OnAnswer(900ms);
  scene.Remove(1000ms);
  scene.view.OnTick(60s);
  BOOST_TEST(scene.view.Targets().Find({0xA1}) != nullptr);

  scene.view.OnTick(62s);

  BOOST_TEST(scene.view.Targets().Find({0xA1}) == nullptr);
  BOOST_TEST(scene.view.Targets().TakeForgotten().size() == 1U);
}

struct Number {
  std::uint64_t number;
  std::uint32_t word;
};

std::ostream& operator<<(std::ostream& out, const Number& row) {
  return out << row.number;
}

const Number kNumbers[] = {{0xA1, 0xA1}, {UINT32_MAX, UINT32_MAX}};

BOOST_DATA_TEST_CASE(a_short_number_is_its_own_word, kNumbers, row) {
  BOOST_TEST(WordFor({row.number}).value == row.word);
}

const std::uint64_t kOtherNumbers[] = {0, 0x100000000, UINT64_MAX};

BOOST_DATA_TEST_CASE(no_number_gives_the_word_that_names_nobody, kOtherNumbers,
                     number) {
  BOOST_TEST(WordFor({number}).value != 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core

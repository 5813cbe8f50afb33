/// Tests the merging of published items from several sources.
#include "core/view/item_store.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {
namespace {

struct MergeRow {
  Item first;
  Item second;
  bool second_changes;
};

std::ostream& operator<<(std::ostream& out, const MergeRow& row) {
  return out << row.first.revision << " then " << row.second.revision;
}

const MergeRow kMergeRows[] = {
    {{"a", {5}, "x"}, {"a", {6}, "y"}, true},
    {{"a", {6}, "y"}, {"a", {5}, "x"}, false},
    {{"a", {6}, "y"}, {"a", {6}, "y"}, false},
    {{"a", {6}, std::nullopt}, {"a", {5}, "x"}, false},
    {{"a", {6}, std::nullopt}, {"a", {7}, "z"}, true},
    {{"a", {6}, "y"}, {"a", {7}, std::nullopt}, true},
};

// Guards against an older change replacing a newer one because it arrives last,
// as a peer's change may overtake the store's. A removed target would get new
// flows again, and a configuration would revert to an older one.
BOOST_DATA_TEST_CASE(the_newer_change_wins_in_any_order, kMergeRows, row) {
  ItemStore store;
  BOOST_TEST(store.Merge(row.first));

  BOOST_TEST(store.Merge(row.second) == row.second_changes);
}

// Guards against items that were removed during a gap in the store's history
// and stay in the view. No event reports them; they are just missing in the
// listing.
BOOST_AUTO_TEST_CASE(a_listing_removes_what_it_lacks) {
  ItemStore store;
  store.Replace({{"a", {1}, "x"}, {"b", {2}, "y"}}, {2});

  const auto changed = store.Replace({{"a", {1}, "x"}}, {9});

  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST(changed[0] == "b");
  BOOST_TEST((store.ValueOf("b") == nullptr));
  BOOST_REQUIRE((store.ValueOf("a") != nullptr));
  BOOST_TEST(*store.ValueOf("a") == "x");
  BOOST_TEST(store.Complete().value == 9U);
}

// Guards against dropping a target that registers while the pages of a listing
// are read: it is missing in a page read before, but a peer has sent it
// already.
BOOST_AUTO_TEST_CASE(a_listing_keeps_what_is_newer_than_it) {
  ItemStore store;
  store.Merge({"new", {12}, "x"});

  const auto changed = store.Replace({{"a", {1}, "x"}}, {10});

  BOOST_TEST(changed.size() == 1U);
  BOOST_TEST(store.Since({11}).items.size() == 1U);
}

struct ContentHashRow {
  const char* name;
  Item change;
  bool known;  ///< Whether there is a content hash after the change.
  bool same;   ///< Whether it is that of a store without the change.
};

std::ostream& operator<<(std::ostream& out, const ContentHashRow& row) {
  return out << row.name;
}

const ContentHashRow kContentHashes[] = {
    {"another revision", {"a", {4}, "x"}, true, false},
    {"a further item", {"b", {4}, "x"}, true, false},
    {"a removal", {"a", {4}, std::nullopt}, true, false},
    {"an older change", {"a", {1}, "x"}, true, true},
    {"the removal of an unknown item", {"b", {4}, std::nullopt}, true, true},
    {"newer than the store", {"b", {7}, "x"}, false, false},
};

// Guards against replicas that differ and can't tell, and against those that
// hold the same and seem to differ.
BOOST_DATA_TEST_CASE(a_content_hash_tells_replicas_apart, kContentHashes, row) {
  ItemStore first;
  first.Replace({{"a", {2}, "x"}}, {5});
  ItemStore second = first;

  second.Merge(row.change);

  BOOST_TEST(second.ContentHash().has_value() == row.known);
  BOOST_TEST((first.ContentHash() == second.ContentHash()) == row.same);
}

// Guards against a wrong view that isn't put right by a copy which is a little
// older, as copies are while changes go on.
BOOST_AUTO_TEST_CASE(an_older_full_copy_adds_what_is_missing) {
  ItemStore store;
  store.Replace({{"a", {1}, "x"}, {"gone", {2}, "x"}}, {9});

  store.Apply({{}, {8}, true, {{"a", {7}, "y"}}});

  BOOST_TEST(store.Complete().value == 9U);
  BOOST_TEST(*store.ValueOf("a") == "y");
  BOOST_TEST(store.ValueOf("gone") == nullptr);
}

// Guards against a permanent gap in the view of an instance that gets deltas
// from peers: a delta that starts after the own revision must be ignored.
BOOST_AUTO_TEST_CASE(a_delta_with_a_gap_before_it_is_not_taken) {
  ItemStore store;
  store.Replace({{"a", {1}, "x"}}, {5});

  BOOST_TEST(store.Apply({{7}, {9}, false, {{"b", {8}, "y"}}}).empty());
  BOOST_TEST(store.Complete().value == 5U);
  BOOST_TEST(store.Apply({{4}, {9}, false, {{"b", {8}, "y"}}}).size() == 1U);
  BOOST_TEST(store.Complete().value == 9U);
}

// Guards against a delta without the removals whose removal marks were dropped.
// A peer that is so far behind must get a full copy.
BOOST_AUTO_TEST_CASE(dropped_removal_marks_force_a_full_copy) {
  ItemStore store;
  store.Replace({{"stays", {1}, "x"}}, {1});
  constexpr std::uint64_t kRemovals = 3000;
  for (std::uint64_t i = 0; i < kRemovals; ++i) {
    store.Merge({"gone-" + std::to_string(i), {2 + i}, std::nullopt});
  }
  store.CompleteTo({2 + kRemovals});

  BOOST_TEST(store.Since({1}).whole);
  BOOST_TEST(store.Since({1}).items.size() == 1U);
  BOOST_TEST(!store.Since({1 + kRemovals}).whole);
}

struct RemovalRow {
  const char* name;
  bool listed;  ///< The source has listed the store, or got a copy.
  std::uint64_t source_had;  ///< Its revision before that; 0: it was empty.
  std::uint64_t have;        ///< The revision of the replica that asks it.
};

std::ostream& operator<<(std::ostream& out, const RemovalRow& row) {
  return out << row.name;
}

const RemovalRow kRemovals[] = {
    {"an empty source, a copy", false, 0, 6},
    {"an empty source, a listing", true, 0, 6},
    {"an older source, a copy", false, 3, 6},
    {"an older source, a listing", true, 3, 6},
    {"a replica as old as the source was", true, 3, 3},
};

// Guards against targets that stay in use after their end, as the changes came
// from an instance that has just started and never heard of their removal.
BOOST_DATA_TEST_CASE(a_source_without_history_passes_removals_on, kRemovals,
                     row) {
  ItemStore publisher;
  publisher.Replace({{"a", {1}, "x"}, {"left", {3}, "x"}}, {3});
  ItemStore source = row.source_had == 0 ? ItemStore() : publisher;
  publisher.Merge({"short", {5}, "x"});
  publisher.CompleteTo({6});
  ItemStore replica;
  replica.Apply(publisher.Since({0}));
  if (row.have == 3) {
    replica = source;
  }
  publisher.Merge({"left", {7}, std::nullopt});
  publisher.Merge({"short", {8}, std::nullopt});
  publisher.Merge({"a", {9}, "y"});
  publisher.CompleteTo({9});

  if (row.listed) {
    source.Replace({{"a", {9}, "y"}}, {9});
  } else {
    source.Apply(publisher.Since({0}));
  }
  replica.Apply(source.Since({row.have}));

  BOOST_TEST(replica.Complete().value == 9U);
  BOOST_TEST(replica.ValueOf("left") == nullptr);
  BOOST_TEST(replica.ValueOf("short") == nullptr);
  BOOST_TEST((replica.ContentHash() == publisher.ContentHash()));
}

// Guards against replicas that differ after the same changes. Applies deltas
// reordered and repeated, and compares the follower with the publisher.
BOOST_DATA_TEST_CASE(replicas_converge_for_any_history,
                     boost::unit_test::data::xrange(50), seed) {
  Jitter random(static_cast<std::uint64_t>(seed));
  ItemStore publisher;
  ItemStore follower;
  publisher.Replace({}, {1});
  std::uint64_t revision = 1;
  for (int step = 0; step < 300; ++step) {
    const std::string key = "k" + std::to_string(random.Below(8));
    const bool removed = random.Below(4) == 0;
    ++revision;
    publisher.Merge(
        {key,
         {revision},
         removed ? std::nullopt
                 : std::optional<std::string>(std::to_string(revision))});
    publisher.CompleteTo({revision});
    if (random.Below(3) == 0) {
      ItemDelta delta = publisher.Since(follower.Complete());
      if (random.Below(2) == 0) {
        std::ranges::reverse(delta.items);
      }
      follower.Apply(delta);
      follower.Apply(delta);
    }
  }
  follower.Apply(publisher.Since(follower.Complete()));

  BOOST_TEST((publisher.Since({0}).items == follower.Since({0}).items));
  BOOST_TEST((publisher.ContentHash() == follower.ContentHash()));
  BOOST_TEST(publisher.ContentHash().has_value());
}

}  // namespace
}  // namespace sassafrasdyke::core

/// How published items merge, from whatever source.
#include "core/view/item_store.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {
namespace {

struct Arrival {
  Item first;
  Item second;
  bool second_changes;
};

std::ostream& operator<<(std::ostream& out, const Arrival& row) {
  return out << row.first.revision << " then " << row.second.revision;
}

const Arrival kArrivals[] = {
    {{"a", {5}, "x"}, {"a", {6}, "y"}, true},
    {{"a", {6}, "y"}, {"a", {5}, "x"}, false},
    {{"a", {6}, "y"}, {"a", {6}, "y"}, false},
    {{"a", {6}, std::nullopt}, {"a", {5}, "x"}, false},
    {{"a", {6}, std::nullopt}, {"a", {7}, "z"}, true},
    {{"a", {6}, "y"}, {"a", {7}, std::nullopt}, true},
};

// Another instance's news may overtake the store's own. If the older of two
// changes won because it came last, a target that has left would take new flows
// again, and a configuration would go back.
BOOST_DATA_TEST_CASE(the_newer_change_wins_in_any_order, kArrivals, row) {
  ItemStore store;
  BOOST_TEST(store.Merge(row.first));

  BOOST_TEST(store.Merge(row.second) == row.second_changes);
}

// A store that forgets its history makes a reader list anew. What left in the
// gap is in no event; only its absence from the listing tells.
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

// The pages of a listing are read one after the other. A target that registers
// while a later page is read is missing from the earlier one; it is known from
// another instance already, and must not be dropped for a moment.
BOOST_AUTO_TEST_CASE(a_listing_keeps_what_is_newer_than_it) {
  ItemStore store;
  store.Merge({"new", {12}, "x"});

  const auto changed = store.Replace({{"a", {1}, "x"}}, {10});

  BOOST_TEST(changed.size() == 1U);
  BOOST_TEST(store.Since({11}).items.size() == 1U);
}

// An instance that the store refuses takes deltas from its peers. One that
// starts behind what it has would leave a gap for good.
BOOST_AUTO_TEST_CASE(a_delta_with_a_gap_before_it_is_not_taken) {
  ItemStore store;
  store.Replace({{"a", {1}, "x"}}, {5});

  BOOST_TEST(store.Apply({{7}, {9}, false, {{"b", {8}, "y"}}}).empty());
  BOOST_TEST(store.Complete().value == 5U);
  BOOST_TEST(store.Apply({{4}, {9}, false, {{"b", {8}, "y"}}}).size() == 1U);
  BOOST_TEST(store.Complete().value == 9U);
}

// Whoever is far behind gets everything instead of a delta: removals are kept
// for a while only.
BOOST_AUTO_TEST_CASE(forgotten_removals_make_a_delta_whole) {
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

// The differential check: whatever the order, the repeats and the mix of
// deltas and listings, a follower that has heard everything has what the
// publisher has.
BOOST_DATA_TEST_CASE(any_history_ends_alike, boost::unit_test::data::xrange(50),
                     seed) {
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
}

}  // namespace
}  // namespace sassafrasdyke::core

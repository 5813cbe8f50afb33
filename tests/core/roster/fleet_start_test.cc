/// Tests a fleet whose instances all start at once, without a view.
#include "core/roster/fleet_start.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct StartRow {
  std::string name;
  FleetStart start;
  milliseconds view_within;
};

std::ostream& operator<<(std::ostream& out, const StartRow& row) {
  return out << row.name;
}

const StartRow kStarts[] = {
    {"store available", {}, 1000ms},
    {"one seed down", {.seeds_down = 1}, 1000ms},
    {"two seeds down", {.seeds_down = 2}, 1000ms},
    // Three pages take 0.7 s longer.
    {"an answer takes 60 times as long", {.store_latency = 240ms}, 1700ms},
    // A lost answer is detected after 0.5 s.
    {"a third of answers lost", {.answers_lost = 0.33}, 1500ms},
    // Refused instances get copies from peers, also of other domains.
    {"a third of instances refused", {.instances_refused = 0.33}, 1500ms},
    {"two domains refused", {.refused_domains = 2}, 1500ms},
    {"eight instances", {.instances = 8, .domains = 3}, 1000ms},
    // The bound covers two round trips and a listing or a copy.
    {"eight instances with few targets",
     {.instances = 8, .domains = 3, .large_view = false},
     200ms},
    // Without peers, 300 listings saturate the store's link for 1.5 s.
    {"no seed is up", {.seeds_down = 3}, 3000ms},
};

// Guards against all instances listing the store at once, which saturates its
// link so that the answers miss their deadlines and are requested again.
BOOST_DATA_TEST_CASE(a_fleet_that_starts_at_once_has_a_view_soon, kStarts,
                     row) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FleetStart start = row.start;
    start.seed = seed;
    const FleetStartOutcome outcome = FleetStartModel(start).Run();

    BOOST_TEST_MESSAGE(row.name << ", seed " << seed << ": "
                                << outcome.slowest.value_or(-1ms).count()
                                << " ms, " << outcome.store_calls << " calls");
    BOOST_REQUIRE(outcome.slowest.has_value());
    BOOST_TEST(outcome.slowest->count() <= row.view_within.count());
  }
}

// Guards against calls in proportion to the instances: with the same number of
// failure domains, twice the instances must make about as many calls.
BOOST_AUTO_TEST_CASE(calls_of_a_start_do_not_grow_with_the_fleet) {
  const FleetStartOutcome small = FleetStartModel({.instances = 150}).Run();
  const FleetStartOutcome large = FleetStartModel({.instances = 300}).Run();

  BOOST_TEST(static_cast<double>(large.store_calls) <=
             1.25 * static_cast<double>(small.store_calls));
}

// Guards against all instances calling an absent store at once, which uses up
// the store's rate when it returns.
BOOST_AUTO_TEST_CASE(calls_to_an_absent_store_do_not_grow_with_the_fleet) {
  const FleetStartOutcome small =
      FleetStartModel(
          {.instances = 150, .store_away_from = 3s, .store_away_for = 6s})
          .Run();
  const FleetStartOutcome large =
      FleetStartModel(
          {.instances = 300, .store_away_from = 3s, .store_away_for = 6s})
          .Run();
  BOOST_TEST_MESSAGE(small.refused_calls << " and " << large.refused_calls);

  BOOST_TEST(static_cast<double>(large.refused_calls) <=
             1.25 * static_cast<double>(small.refused_calls));
}

}  // namespace
}  // namespace sassafrasdyke::core

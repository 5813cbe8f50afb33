/// What an instance counts of each target, and which targets it reports.
#include "core/health/target_observations.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "core/health/health_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

// Guards against counts that stay after the period, or are lost within it.
BOOST_AUTO_TEST_CASE(counts_cover_two_seconds) {
  HealthScene scene(1);
  scene.Own(0, 4, 1, 30ms);
  const TargetIndex target = scene.indexes.front();
  const TargetCounts counts =
      scene.own.CountsOf(target, scene.now + 1700ms, 0ms);

  BOOST_TEST(counts.requests == 4U);
  BOOST_TEST(counts.failures == 1U);
  BOOST_TEST(counts.MeanMs() == 30.0);
  BOOST_TEST(scene.own.CountsOf(target, scene.now + 2300ms, 0ms).requests ==
             0U);
  BOOST_TEST(scene.own.CountsOf(target, scene.now + 300ms, scene.now + 250ms)
                 .requests == 0U);
}

// Guards against network time that counts as the target's, and against times of
// long-lived flows that are left out.
BOOST_AUTO_TEST_CASE(times_of_open_flows_lose_the_known_round_trip) {
  HealthScene scene(1);
  const TargetIndex target = scene.indexes.front();
  scene.own.OnAnswer(target, {scene.now, 50ms, 0ms}, scene.now);
  BOOST_TEST(scene.own.CountsOf(target, scene.now, 0ms).answers == 0U);
  scene.Own(0, 1, 0, 30ms);
  scene.own.OnAnswer(target, {scene.now, 42ms, 0ms}, scene.now);

  BOOST_TEST(scene.own.CountsOf(target, scene.now, 0ms).answers == 2U);
  BOOST_TEST(scene.own.CountsOf(target, scene.now, 0ms).MeanMs() == 35.0);
}

struct Distrust {
  std::string name;
  std::vector<int> failures;  ///< Of ten requests to each target.
  Time paused_ago;
  std::size_t told;  ///< Entries of a digest.
};

std::ostream& operator<<(std::ostream& out, const Distrust& row) {
  return out << row.name;
}

const Distrust kDistrust[] = {
    {"one target fails", {5, 0, 0, 0, 0}, 10s, 1},
    {"a minority fails", {5, 5, 0, 0, 0}, 10s, 2},
    {"the own link is faulty", {5, 5, 5, 0, 0}, 10s, 0},
    {"rare failures everywhere", {0, 0, 0, 0, 5}, 10s, 1},
    {"just paused", {5, 0, 0, 0, 0}, 900ms, 0},
};

// Guards against an instance with a faulty link, or one that was paused, whose
// own trouble looks like that of targets.
BOOST_DATA_TEST_CASE(own_trouble_is_not_reported, kDistrust, row) {
  HealthScene scene(5);
  scene.own.OnPause(scene.now - row.paused_ago);
  for (std::size_t i = 0; i < row.failures.size(); ++i) {
    scene.Own(i, 10, row.failures[i], 30ms);
  }

  BOOST_TEST(scene.own.Worst({}, scene.now, kLongPeriod).size() == row.told);
}

// Guards against a digest that grows with the number of bad targets, or that
// leaves out the worst of them.
BOOST_AUTO_TEST_CASE(the_worst_targets_are_reported_first) {
  HealthScene scene(30);
  for (std::size_t i = 0; i < 30; ++i) {
    scene.Own(i, 10, i < 9 ? static_cast<int>(9 - i) : 0,
              i == 20 ? 300ms : 30ms);
  }
  const auto worst = scene.own.Worst(
      {{scene.indexes[11]}, {scene.indexes[12], true}}, scene.now, kLongPeriod);

  BOOST_REQUIRE(worst.size() == kMaxTargetObservations);
  BOOST_TEST(worst[0].silent);
  BOOST_TEST(worst[0].target.value == 13U);
  BOOST_TEST(worst[1].target.value == 12U);
  BOOST_TEST(worst[2].target.value == 1U);
  BOOST_TEST(worst[2].failures == 9U);
  BOOST_TEST(worst[7].failures == 4U);
}

// Guards against failures that make a slow target invisible.
BOOST_AUTO_TEST_CASE(slow_targets_are_reported) {
  HealthScene scene(5);
  for (std::size_t i = 0; i < 5; ++i) {
    scene.Own(i, 3, 0, i == 2 ? 300ms : 30ms);
  }
  const auto worst = scene.own.Worst({}, scene.now, kLongPeriod);

  BOOST_REQUIRE(worst.size() == 1U);
  BOOST_TEST(worst[0].target.value == 3U);
  BOOST_TEST(worst[0].mean_time.count() == 300);
}

}  // namespace
}  // namespace sassafrasdyke::core

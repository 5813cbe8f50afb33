/// Tests that the measured load is the load that was placed.
#include "core/load/load_meter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/jitter.h"
#include "core/load/load_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct KnownLoad {
  std::uint64_t per_second;
  milliseconds time_at_target;
  std::uint64_t requests_per_flow;
  std::uint64_t seen;  ///< One of so many answers is acknowledged at once.
};

std::ostream& operator<<(std::ostream& out, const KnownLoad& row) {
  return out << row.per_second << "/s of " << row.time_at_target.count()
             << " ms, " << row.requests_per_flow << " on a flow, 1 of "
             << row.seen << " seen";
}

const KnownLoad kLoads[] = {{30, 30ms, 1, 1},
                            {30, 13ms, 20, 1},
                            {30, 39ms, 1, 5},
                            {400, 5ms, 1, 1},
                            {400, 150ms, 20, 3}};

// Guards against a concurrency that includes network time, that counts only
// requests whose answers are seen, or only those that open a flow.
BOOST_DATA_TEST_CASE(known_load_is_measured, kLoads, row) {
  constexpr milliseconds kRoundTrip = 8ms;
  LoadScene scene;
  Jitter random(row.per_second);
  double rate = 0;
  double concurrency = 0;
  unsigned measures = 0;
  std::uint64_t requests = 0;
  for (milliseconds now = 1ms; now <= 21s; now += 1ms) {
    if (random.Below(1000) < row.per_second) {
      const bool opens = requests++ % row.requests_per_flow == 0;
      if (opens) {
        scene.meter.OnOpening(scene.TargetIn(0), now);
      } else {
        scene.meter.OnRequest(scene.TargetIn(0), now);
      }
      const milliseconds took =
          row.time_at_target + (opens ? 2 : 1) * kRoundTrip;
      if (requests % row.seen == 0 || opens) {
        scene.meter.OnAnswer(scene.TargetIn(0),
                             {now, took, opens ? kRoundTrip : 0ms}, now);
      }
    }
    if (now > 1s && now % 100ms == 0ms) {
      const auto measured = scene.meter.Measure(now);
      BOOST_REQUIRE(measured.has_value());
      BOOST_REQUIRE(measured->size() == 1U);
      rate += measured->front().load.requests_per_s;
      concurrency += measured->front().load.concurrency;
      ++measures;
    }
  }

  const auto expected = static_cast<double>(row.per_second);
  const double expected_concurrency =
      expected * std::chrono::duration<double>(row.time_at_target).count();
  BOOST_TEST(rate / measures == expected, boost::test_tools::tolerance(0.15));
  BOOST_TEST(concurrency / measures == expected_concurrency,
             boost::test_tools::tolerance(0.15));
}

// Guards against a rate over a window that began before the measurement.
BOOST_AUTO_TEST_CASE(the_first_half_second_is_not_reported) {
  LoadScene scene;
  for (milliseconds now = 0ms; now < 600ms; now += 10ms) {
    scene.meter.OnOpening(scene.TargetIn(0), now);
    BOOST_TEST(scene.meter.Measure(now).has_value() == false);
  }
  BOOST_TEST(scene.meter.Measure(600ms)->front().load.requests_per_s == 100.0);
}

// Guards against counts from before the pause, and against times at the target
// from before it, by which the time of the pause would count as concurrency.
BOOST_AUTO_TEST_CASE(what_was_measured_before_a_pause_is_discarded) {
  LoadScene scene;
  scene.Run(2s, 10);
  BOOST_REQUIRE(scene.meter.Measure(scene.now).has_value());
  scene.meter.OnPause(2350ms);

  BOOST_TEST(!scene.meter.Measure(2800ms).has_value());
  scene.meter.OnOpening(scene.TargetIn(0), 2850ms);
  const auto measured = scene.meter.Measure(2900ms);
  BOOST_REQUIRE(measured.has_value());
  BOOST_REQUIRE(measured->size() == 1U);
  BOOST_TEST(measured->front().load.requests_per_s == 2.0);
  BOOST_TEST(measured->front().load.concurrency == 0.0);
}

// A request may be answered after its target's entry was erased.
BOOST_AUTO_TEST_CASE(targets_that_are_gone_are_ignored) {
  LoadScene scene;
  scene.meter.OnRequest({99}, 100ms);
  scene.meter.OnAnswer({99}, {0ms, 100ms, 2ms}, 100ms);

  BOOST_TEST(scene.meter.Measure(1s)->empty());
}

}  // namespace
}  // namespace sassafrasdyke::core

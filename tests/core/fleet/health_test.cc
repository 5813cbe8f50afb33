/// The spread of target health through a failure domain.
#include <boost/test/unit_test.hpp>

#include "core/fleet/fleet_network.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 13;

void Probe(FleetNetwork& network, std::uint32_t by, std::uint32_t target,
           TargetHealth health) {
  network.Call(by, [&](Fleet& fleet, std::chrono::milliseconds now,
                       FleetOutbox& outbox) {
    fleet.OnTargetProbed({target}, health, now, outbox);
  });
}

std::size_t CountWith(FleetNetwork& network, TargetHealth health) {
  std::size_t count = 0;
  for (auto& [id, fleet] : network.All()) {
    count +=
        !fleet.health.empty() && fleet.health.back().health == health ? 1 : 0;
  }
  return count;
}

// A target fails and one prober sees it. The others of the domain own
// partitions that use it too, and must stop placing flows there.
BOOST_AUTO_TEST_CASE(a_change_reaches_the_domain_once_and_no_other_domain) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(24, 2), 18);

  Probe(network, 1, 5, TargetHealth::kFailing);
  network.RunFor(500ms);

  BOOST_TEST(CountWith(network, TargetHealth::kFailing) == 12U);
  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(fleet.health.size() <= 1U);
  }
}

// Probers keep finding the same state. Reporting it again each time would fill
// the budget for health reports.
BOOST_AUTO_TEST_CASE(known_health_is_not_reported_again) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(4, 1), 18);
  Probe(network, 1, 5, TargetHealth::kFailing);
  network.RunFor(500ms);

  Probe(network, 2, 5, TargetHealth::kFailing);
  Probe(network, 3, 6, TargetHealth::kHealthy);
  network.RunFor(500ms);

  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(fleet.health.size() == 1U);
  }
}

// Two probers report different health at the same moment, because only one of
// them reaches the target. All instances must converge on the same state.
BOOST_AUTO_TEST_CASE(conflicting_probers_converge) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), 18);

  Probe(network, 1, 5, TargetHealth::kFailing);
  Probe(network, 2, 5, TargetHealth::kShedding);
  network.RunFor(1000ms);

  BOOST_TEST(CountWith(network, TargetHealth::kShedding) == 8U);
}

// A health report is lost on its way to one instance. Without anti-entropy,
// that one would go on sending callers to a failing target.
BOOST_AUTO_TEST_CASE(a_lost_health_change_is_repaired) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), 18);
  for (std::uint32_t other = 1; other <= 5; ++other) {
    network.CutOneWay(other, 6);
  }
  Probe(network, 1, 5, TargetHealth::kFailing);
  network.RunFor(300ms);
  BOOST_TEST(network.Of(6).health.empty());

  network.Heal();
  network.RunFor(3000ms);

  BOOST_TEST(CountWith(network, TargetHealth::kFailing) == 6U);
}

// A target is removed from the configuration while reports on it are in flight.
// If instances kept and relayed these, they would circulate for ever.
BOOST_AUTO_TEST_CASE(a_removed_target_is_forgotten) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(3, 1), 18);

  network.Inject(2, 1,
                 TargetHealthChange{{77}, TargetHealth::kFailing, 1, {2}});
  network.RunFor(100ms);

  BOOST_TEST(network.Of(1).health.empty());
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Random sequences of overlapping failures.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "core/fleet/fleet_network.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kInstances = 12;
constexpr std::uint32_t kDomains = 3;
constexpr std::uint32_t kTargets = 18;

/// Applies one random fault, repair or configuration change.
void ApplyRandomEvent(FleetNetwork& network, std::mt19937& random,
                      std::uint64_t& revision) {
  const auto pick = [&random](std::uint32_t count) {
    return 1 + static_cast<std::uint32_t>(random() % count);
  };
  const std::uint32_t id = pick(kInstances);
  switch (random() % 8) {
    case 0:
      network.Kill(id);
      break;
    case 1: {
      SampleInstance next = network.Of(id).identity;
      ++next.incarnation;
      network.Start(next);
      break;
    }
    case 2:
      network.Pause(id);
      break;
    case 3:
      network.Resume(id);
      break;
    case 4:
      network.CutOneWay(id, pick(kInstances));
      break;
    case 5:
      network.CutDomains(pick(kDomains), pick(kDomains));
      break;
    case 6:
      network.SetPlatformUp(random() % 2 == 0);
      break;
    default:
      ++revision;
      network.Publish(WithEntry(ConfigurationOf(1, kTargets), revision,
                                "targets/00002", std::to_string(revision)));
      break;
  }
}

/// Repairs all faults; dead instances start as a new incarnation.
void RepairAll(FleetNetwork& network) {
  network.Heal();
  network.SetPlatformUp(true);
  for (std::uint32_t id = 1; id <= kInstances; ++id) {
    network.Resume(id);
    if (!network.Of(id).running) {
      SampleInstance next = network.Of(id).identity;
      ++next.incarnation;
      network.Start(next);
    }
  }
}

// Instances die, start and pause, links and the platform fail and recover, and
// the configuration changes meanwhile. Once all faults are repaired, all
// instances must agree on the members and the newest revision and hold their
// leases, or some callers' packets would reach two owners for good.
BOOST_DATA_TEST_CASE(the_fleet_converges_after_random_failures,
                     boost::unit_test::data::xrange(1, 13), seed) {
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  FleetNetwork network(static_cast<std::uint64_t>(seed),
                       {.loss_between_percent = 5, .repeat_percent = 5});
  network.StartAll(SampleInstances(kInstances, kDomains), kTargets);
  std::uint64_t revision = 1;
  for (int step = 0; step < 60; ++step) {
    ApplyRandomEvent(network, random, revision);
    network.RunFor(std::chrono::milliseconds(random() % 3000));
  }

  RepairAll(network);
  network.RunFor(150s);

  BOOST_TEST(network.InForceEverywhere(revision));
  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST_CONTEXT("instance " << id) {
      BOOST_TEST(network.AllSee(id, InstanceUse::kOwner));
      BOOST_TEST((fleet.view->lease == Lease::kHeld));
      BOOST_TEST(fleet.view->unreachable.empty());
    }
  }
}

// During such failures, no instance may ever replace a revision in force by an
// older one, or a removed target would come back.
BOOST_DATA_TEST_CASE(random_failures_never_revert_a_revision,
                     boost::unit_test::data::xrange(20, 26), seed) {
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  FleetNetwork network(static_cast<std::uint64_t>(seed),
                       {.loss_inside_percent = 5, .repeat_percent = 20});
  network.StartAll(SampleInstances(kInstances, kDomains), kTargets);
  std::uint64_t revision = 1;
  for (int step = 0; step < 60; ++step) {
    ApplyRandomEvent(network, random, revision);
    network.RunFor(std::chrono::milliseconds(random() % 1000));
  }

  for (auto& [id, fleet] : network.All()) {
    for (std::size_t i = 1; i < fleet.in_force.size(); ++i) {
      BOOST_TEST(fleet.in_force[i - 1].revision < fleet.in_force[i].revision);
    }
  }
}

}  // namespace
}  // namespace sassafrasdyke::core

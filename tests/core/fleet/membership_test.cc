/// Failure detection, membership and leases in simulated fleets.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/fleet/fleet_network.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTargets = 18;
constexpr std::uint64_t kSeed = 5;

std::size_t CountChanges(const RunningFleet& fleet, std::uint32_t about) {
  return static_cast<std::size_t>(std::count_if(
      fleet.decisions.begin(), fleet.decisions.end(),
      [about](const FleetDecision& decision) {
        const auto* changed = std::get_if<MemberChanged>(&decision);
        return changed != nullptr && changed->about.value == about;
      }));
}

// An instance dies while the published list still names it. Until all instances
// agree that it owns nothing, callers' packets go to a dead owner.
BOOST_DATA_TEST_CASE(a_death_is_confirmed_before_the_list_changes,
                     boost::unit_test::data::make({2U, 3U, 5U, 12U}), count) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(count, 1), kTargets);
  network.Kill(2);

  network.RunFor(1500ms);
  BOOST_TEST(network.AllSee(2, InstanceUse::kOwner));
  network.RunFor(3500ms);

  BOOST_TEST(network.AllSee(2, InstanceUse::kSuspected));
  BOOST_TEST(network.AllSee(1, InstanceUse::kOwner));
}

// Two of a domain's three instances die together, with the switch they share.
// Each has only one watcher left. If confirmation needed two, the flows of both
// would never move to the survivor.
BOOST_AUTO_TEST_CASE(the_only_remaining_peer_confirms_alone) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(3, 1), kTargets);
  network.Kill(2);
  network.Kill(3);

  network.RunFor(5000ms);

  BOOST_TEST(network.AllSee(2, InstanceUse::kSuspected));
  BOOST_TEST(network.AllSee(3, InstanceUse::kSuspected));
}

// One link between two instances breaks while both reach all others. If one
// watcher's suspicion were enough, a healthy instance would lose its
// partitions.
BOOST_AUTO_TEST_CASE(one_broken_link_moves_no_ownership) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);
  network.Cut(1, 2);

  network.RunFor(20s);

  for (const std::uint32_t id : {1U, 2U}) {
    BOOST_TEST(network.AllSee(id, InstanceUse::kOwner));
  }
}

// A firewall drops all traffic to one instance but not from it. If its own
// messages counted as signs of life, it would stay an owner that no packet
// reaches.
BOOST_AUTO_TEST_CASE(an_instance_that_can_only_send_is_suspected) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  for (std::uint32_t other = 2; other <= 6; ++other) {
    network.CutOneWay(other, 1);
  }

  network.RunFor(6000ms);

  for (std::uint32_t other = 2; other <= 6; ++other) {
    BOOST_TEST((network.UseOf(other, 1) == InstanceUse::kSuspected));
    // The isolated instance's suspicions of the others must not count.
    for (std::uint32_t third = 2; third <= 6; ++third) {
      BOOST_TEST((network.UseOf(other, third) == InstanceUse::kOwner));
    }
  }
}

// The policy sets more watchers than the heartbeat budget can carry. If dropped
// requests and answers counted as missed ones, healthy instances would lose
// their ownership.
BOOST_DATA_TEST_CASE(too_many_watchers_suspect_nobody_healthy,
                     boost::unit_test::data::make({8U, 47U}), watchers) {
  FleetNetwork network(kSeed);
  network.Reader().policy.watchers = watchers;
  network.StartAll(SampleInstances(48, 1), kTargets);
  network.RunFor(30s);

  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(CountChanges(fleet, 1 + id % 48) == 0U);
    BOOST_TEST(network.AllSee(id, InstanceUse::kOwner));
  }
  network.Kill(2);
  network.RunFor(30s);
  BOOST_TEST(network.AllSee(2, InstanceUse::kSuspected));
}

// A process is paused for seconds and resumed. It must not place flows by its
// outdated view, and must regain its ownership once it has caught up.
BOOST_AUTO_TEST_CASE(a_paused_instance_is_suspected_and_returns) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);
  network.Pause(2);
  network.RunFor(8000ms);
  BOOST_TEST((network.UseOf(1, 2) == InstanceUse::kSuspected));
  const std::size_t known = network.Of(2).decisions.size();

  network.Resume(2);
  network.RunFor(8000ms);

  const auto& decisions = network.Of(2).decisions;
  BOOST_REQUIRE(decisions.size() > known);
  const auto* first = std::get_if<LeaseChanged>(&decisions[known]);
  BOOST_REQUIRE(first != nullptr);
  BOOST_TEST((first->lease == Lease::kStale));
  // It learns that it was suspected before it regains its lease.
  const auto* second = std::get_if<MemberChanged>(&decisions[known + 1]);
  BOOST_REQUIRE(second != nullptr);
  BOOST_TEST(second->about.value == 2U);
  BOOST_TEST((second->use == InstanceUse::kSuspected));
  BOOST_TEST((network.Of(2).view->lease == Lease::kHeld));
  BOOST_TEST(network.AllSee(2, InstanceUse::kOwner));
}

// An instance is unreachable every few seconds, for example due to a bad cable.
// Without damping each return would move partitions back and forth, and flows
// stall at each move.
BOOST_AUTO_TEST_CASE(flapping_is_damped) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  for (int round = 0; round < 12; ++round) {
    network.Pause(2);
    network.RunFor(4000ms);
    network.Resume(2);
    network.RunFor(4000ms);
  }

  // Undamped, it would be 24 changes.
  BOOST_TEST(CountChanges(network.Of(1), 2) <= 8U);
  network.RunFor(70s);
  BOOST_TEST(network.AllSee(2, InstanceUse::kOwner));
}

// An instance is replaced at its address before the list is updated. Suspicions
// of the old incarnation must not count against the new one.
BOOST_AUTO_TEST_CASE(a_new_incarnation_at_the_same_address_is_an_owner) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  network.Kill(2);
  network.RunFor(6000ms);
  BOOST_REQUIRE(network.AllSee(2, InstanceUse::kSuspected));

  network.Start({.id = 2, .incarnation = 2});
  network.RunFor(8000ms);

  BOOST_TEST(network.AllSee(2, InstanceUse::kOwner));
  for (const InstanceView& view : network.Of(1).view->instances) {
    BOOST_TEST((view.id.value != 2U || view.incarnation.value == 2U));
  }
}

// A new instance runs before the list names it. Its peers don't count it as an
// owner yet; if it counted itself, flows would have two owners.
BOOST_AUTO_TEST_CASE(an_unlisted_newcomer_owns_nothing_until_it_is_listed) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(4, 1), kTargets);
  network.Start({.id = 9});
  network.RunFor(4000ms);
  BOOST_TEST((network.UseOf(9, 9) == InstanceUse::kLeaving));

  std::vector<SampleInstance> listed = SampleInstances(4, 1);
  listed.push_back({.id = 9});
  network.Publish(InstancesOf(2, listed));
  network.RunFor(3000ms);

  BOOST_TEST(network.AllSee(9, InstanceUse::kOwner));
}

// An operator stops an instance and the list lags behind. Its own report must
// reach all instances at once, or new flows would still be placed there.
BOOST_AUTO_TEST_CASE(a_leaving_instance_reports_itself) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(9, 3), kTargets);
  network.Call(2, [](Fleet& fleet, std::chrono::milliseconds now,
                     FleetOutbox& outbox) { fleet.OnLeave(now, outbox); });

  network.RunFor(300ms);

  BOOST_TEST(network.AllSee(2, InstanceUse::kLeaving));
}

// A network partition separates a failure domain from the others. It must keep
// working: leases stay held, no instance is suspected, and the other domains
// are known to be unreachable.
BOOST_AUTO_TEST_CASE(a_partitioned_domain_keeps_working) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(12, 3), kTargets);
  network.CutDomains(1, 2);
  network.CutDomains(1, 3);
  for (auto& [id, fleet] : network.All()) {
    fleet.platform_cut = fleet.identity.domain == 1;
  }

  network.RunFor(20s);

  for (auto& [id, fleet] : network.All()) {
    const std::size_t expected = fleet.identity.domain == 1 ? 2 : 1;
    BOOST_TEST((fleet.view->lease == Lease::kHeld));
    BOOST_TEST(fleet.view->unreachable.size() == expected);
    BOOST_TEST(network.AllSee(id, InstanceUse::kOwner));
  }
  network.Heal();
  network.RunFor(6000ms);
  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(fleet.view->unreachable.empty());
  }
}

// One instance loses contact with all peers and the platform. It must first
// stop placing flows, since others may have taken over, and later serve alone.
BOOST_AUTO_TEST_CASE(an_isolated_instance_is_first_stale_and_then_cut_off) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(4, 1), kTargets);
  network.Of(1).platform_cut = true;
  for (std::uint32_t other = 2; other <= 4; ++other) {
    network.Cut(1, other);
  }

  network.RunFor(7000ms);
  BOOST_TEST((network.Of(1).view->lease == Lease::kStale));
  network.RunFor(6000ms);

  BOOST_TEST((network.Of(1).view->lease == Lease::kCutOff));
  network.Heal();
  network.RunFor(4000ms);
  BOOST_TEST((network.Of(1).view->lease == Lease::kHeld));
}

}  // namespace
}  // namespace sassafrasdyke::core

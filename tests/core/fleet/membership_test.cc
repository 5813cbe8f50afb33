/// Who is believed to be alive, and by whom.
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

// An instance dies while the published list still names it. Until everyone
// agrees that it owns nothing, callers' packets go to a dead owner.
BOOST_DATA_TEST_CASE(a_death_is_agreed_on_before_the_list_says_so,
                     boost::unit_test::data::make({2U, 3U, 5U, 12U}), count) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(count, 1), kTargets);
  network.Kill(2);

  network.RunFor(1500ms);
  BOOST_TEST(network.AllBelieve(2, InstanceUse::kOwner));
  network.RunFor(3500ms);

  BOOST_TEST(network.AllBelieve(2, InstanceUse::kSuspected));
  BOOST_TEST(network.AllBelieve(1, InstanceUse::kOwner));
}

// Two of a domain's three instances die together, with the switch they share.
// Each has only one watcher left; its flows must find the survivor all the
// same.
BOOST_AUTO_TEST_CASE(the_last_witness_is_believed_alone) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(3, 1), kTargets);
  network.Kill(2);
  network.Kill(3);

  network.RunFor(5000ms);

  BOOST_TEST(network.AllBelieve(2, InstanceUse::kSuspected));
  BOOST_TEST(network.AllBelieve(3, InstanceUse::kSuspected));
}

// One link between two instances breaks while both reach everyone else. If one
// watcher's word were enough, a healthy instance would lose its partitions.
BOOST_AUTO_TEST_CASE(one_broken_link_moves_no_ownership) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);
  network.Cut(1, 2);

  network.RunFor(20s);

  for (const std::uint32_t id : {1U, 2U}) {
    BOOST_TEST(network.AllBelieve(id, InstanceUse::kOwner));
  }
}

// A firewall drops what goes to one instance and lets through what it sends. It
// looks alive to whoever only listens, but no packet reaches it.
BOOST_AUTO_TEST_CASE(an_instance_that_can_only_send_is_no_owner) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  for (std::uint32_t other = 2; other <= 6; ++other) {
    network.CutOneWay(other, 1);
  }

  network.RunFor(6000ms);

  for (std::uint32_t other = 2; other <= 6; ++other) {
    BOOST_TEST((network.UseOf(other, 1) == InstanceUse::kSuspected));
    // What the lone one says of the others must not be believed.
    for (std::uint32_t third = 2; third <= 6; ++third) {
      BOOST_TEST((network.UseOf(other, third) == InstanceUse::kOwner));
    }
  }
}

// Someone publishes more watchers than the heartbeats' budget can carry.
// Dropped questions and answers must not look like deaths, or the budget itself
// would take ownership from healthy instances.
BOOST_DATA_TEST_CASE(too_many_watchers_suspect_nobody_healthy,
                     boost::unit_test::data::make({8U, 47U}), watchers) {
  FleetNetwork network(kSeed);
  network.Reader().policy.watchers = watchers;
  network.StartAll(SampleInstances(48, 1), kTargets);
  network.RunFor(30s);

  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(CountChanges(fleet, 1 + id % 48) == 0U);
    BOOST_TEST(network.AllBelieve(id, InstanceUse::kOwner));
  }
  network.Kill(2);
  network.RunFor(30s);
  BOOST_TEST(network.AllBelieve(2, InstanceUse::kSuspected));
}

// A process is stopped for seconds and wakes. It must not act on what it knew,
// and it must get its ownership back once it has caught up.
BOOST_AUTO_TEST_CASE(a_paused_instance_is_suspected_and_returns) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);
  network.Pause(2);
  network.RunFor(8000ms);
  BOOST_TEST((network.UseOf(1, 2) == InstanceUse::kSuspected));
  const std::size_t known = network.Of(2).decisions.size();

  network.Wake(2);
  network.RunFor(8000ms);

  const auto& decisions = network.Of(2).decisions;
  BOOST_REQUIRE(decisions.size() > known);
  const auto* first = std::get_if<LeaseChanged>(&decisions[known]);
  BOOST_REQUIRE(first != nullptr);
  BOOST_TEST((first->lease == Lease::kStale));
  // It learns that it was replaced before it may act again.
  const auto* second = std::get_if<MemberChanged>(&decisions[known + 1]);
  BOOST_REQUIRE(second != nullptr);
  BOOST_TEST(second->about.value == 2U);
  BOOST_TEST((second->use == InstanceUse::kSuspected));
  BOOST_TEST((network.Of(2).view->lease == Lease::kHeld));
  BOOST_TEST(network.AllBelieve(2, InstanceUse::kOwner));
}

// A bad cable lets an instance come and go every few seconds. Each return
// would move partitions there and back, and flows stall at each move.
BOOST_AUTO_TEST_CASE(flapping_is_damped) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  for (int round = 0; round < 12; ++round) {
    network.Pause(2);
    network.RunFor(4000ms);
    network.Wake(2);
    network.RunFor(4000ms);
  }

  // Undamped, it would be 24 changes.
  BOOST_TEST(CountChanges(network.Of(1), 2) <= 8U);
  network.RunFor(70s);
  BOOST_TEST(network.AllBelieve(2, InstanceUse::kOwner));
}

// An instance is replaced at its address before the list says so. Suspicions of
// the old life must not count against the new one.
BOOST_AUTO_TEST_CASE(a_new_life_at_the_same_address_is_an_owner) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(6, 1), kTargets);
  network.Kill(2);
  network.RunFor(6000ms);
  BOOST_REQUIRE(network.AllBelieve(2, InstanceUse::kSuspected));

  network.Start({.id = 2, .incarnation = 2});
  network.RunFor(8000ms);

  BOOST_TEST(network.AllBelieve(2, InstanceUse::kOwner));
  for (const InstanceView& view : network.Of(1).view->instances) {
    BOOST_TEST((view.id.value != 2U || view.incarnation.value == 2U));
  }
}

// A newcomer runs before the list names it. Nobody else counts it, so it must
// not count itself among the owners, and its words go unheard.
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

  BOOST_TEST(network.AllBelieve(9, InstanceUse::kOwner));
}

// An operator stops an instance and the list is late. Its own word must reach
// everyone, so that no new flow is placed there.
BOOST_AUTO_TEST_CASE(a_leaving_instance_says_so_itself) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(9, 3), kTargets);
  network.Call(2, [](Fleet& fleet, std::chrono::milliseconds now,
                     FleetOutbox& outbox) { fleet.OnLeave(now, outbox); });

  network.RunFor(300ms);

  BOOST_TEST(network.AllBelieve(2, InstanceUse::kLeaving));
}

// A failure domain is cut off from the others. Inside, work must go on: the
// lease holds, nobody is suspected, and the others are known as unreachable.
BOOST_AUTO_TEST_CASE(a_domain_that_is_cut_off_works_inside) {
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
    BOOST_TEST(network.AllBelieve(id, InstanceUse::kOwner));
  }
  network.Heal();
  network.RunFor(6000ms);
  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST(fleet.view->unreachable.empty());
  }
}

// One instance loses everybody, the platform too. It must first stop placing,
// in case others took over, and then serve what it can.
BOOST_AUTO_TEST_CASE(an_instance_alone_is_first_stale_and_then_cut_off) {
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

/// New flows whose home failure domain has no usable instance left.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string_view>

#include "core/balancer.h"
#include "samples.h"

namespace sassafrasdyke::core::testing {
namespace {

using namespace std::chrono_literals;

constexpr common::DomainId kLost{2};
constexpr std::uint32_t kFlows = 200;
constexpr std::chrono::milliseconds kStart = 0ms;
/// When the slow start of every target is over.
constexpr std::chrono::milliseconds kLater = 10'000ms;

struct Loss {
  std::string_view how;
  FleetView view;
};

std::ostream& operator<<(std::ostream& out, const Loss& row) {
  return out << row.how;
}

FleetView Unlisted() {
  FleetView view = SampleView(1, 2, 2);
  view.instances.resize(1);
  return view;
}

FleetView Suspected() {
  FleetView view = SampleView(1, 2, 2);
  InstanceOf(view, 2).use = InstanceUse::kSuspected;
  return view;
}

FleetView CutOff() {
  FleetView view = SampleView(1, 2, 2);
  view.unreachable.push_back(kLost);
  return view;
}

const Loss kLosses[] = {{"no longer listed", Unlisted()},
                        {"suspected", Suspected()},
                        {"cut off", CutOff()}};

/// Losses after which the domain's targets may still be reachable; those of a
/// domain that is cut off aren't.
const Loss kPlausible[] = {kLosses[0], kLosses[1]};

bool IsInLostDomain(common::TargetId target) {
  return target.value % 2 == kLost.value % 2;
}

// Guards against new flows at dead targets: a whole failure domain loses power,
// but its targets are still published as serving. The callers of flows that
// another domain adopts would wait for a SYN-ACK that never comes.
BOOST_DATA_TEST_CASE(an_adopted_flow_avoids_the_lost_domain, kLosses, row) {
  const auto balancer =
      MakeBalancer(common::InstanceId{1}, common::Incarnation{1});
  Outbox outbox;
  balancer->OnConfiguration(
      Accept(SampleConfiguration({.targets_per_service = 4, .domains = 2})),
      kStart, outbox);
  balancer->OnFleetView(row.view, kStart, outbox);

  std::uint32_t adopted = 0;
  for (std::uint32_t caller = 1; caller <= kFlows; ++caller) {
    const PacketAction action =
        balancer->OnPacket(Syn(FlowOf(caller)), kLater, outbox);
    const auto* const forward = std::get_if<ForwardToTarget>(&action);
    BOOST_REQUIRE(forward != nullptr);
    BOOST_TEST(!IsInLostDomain(forward->target));
    adopted += forward->reason == PlacementReason::kAdopted ? 1 : 0;
  }
  BOOST_TEST(adopted > 0U);
}

// Guards against refusals after the same loss when the other domain has no
// target of the service: a target that may be dead is better than none.
BOOST_DATA_TEST_CASE(a_lost_domain_serves_as_last_resort, kPlausible, row) {
  Configuration configuration =
      SampleConfiguration({.targets_per_service = 4, .domains = 2});
  for (Target& target : configuration.targets) {
    target.domain = kLost;
  }
  const auto balancer =
      MakeBalancer(common::InstanceId{1}, common::Incarnation{1});
  Outbox outbox;
  balancer->OnConfiguration(Accept(configuration), kStart, outbox);
  balancer->OnFleetView(row.view, kStart, outbox);

  const PacketAction action =
      balancer->OnPacket(Syn(FlowOf(1)), kLater, outbox);

  BOOST_TEST(ForwardedTo(action).value != 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core::testing

/// Small configurations, views and packets for the tests of the core.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/balancer.h"

namespace sassafrasdyke::core::testing {

/// The size of a sample configuration.
struct SampleSize {
  std::uint32_t services{1};
  std::uint32_t targets_per_service{4};
  std::uint32_t domains{1};
  std::uint32_t partitions{16};
};

/// Targets of service N have ids above N times this.
inline constexpr std::uint32_t kTargetsPerServiceLimit = 1000;

/// Services 1.., listening on 192.0.2.N:443; targets N * 1000 + 1.. of service
/// N, spread over domains 1.. in turn.
Configuration SampleConfiguration(const SampleSize& size);

/// `configuration` in the form that balancers take.
std::shared_ptr<const Configuration> Accept(Configuration configuration);

/// The target with this id; it must exist.
Target& TargetOf(Configuration& configuration, std::uint32_t id);

/// The view of instance `self`: `instances` instances, all usable, spread over
/// domains 1.. in turn.
FleetView SampleView(std::uint32_t self, std::uint32_t instances,
                     std::uint32_t domains = 1);

/// The instance with this id in the view; it must exist.
InstanceView& InstanceOf(FleetView& view, std::uint32_t id);

/// The flow of a caller, which differs by address or port, to a service.
common::FlowKey FlowOf(std::uint32_t caller, std::uint32_t service = 1);

PacketArrived Syn(const common::FlowKey& flow, std::uint32_t sequence = 1);
PacketArrived Data(const common::FlowKey& flow, std::uint32_t sequence = 2,
                   std::uint32_t bytes = 100);
PacketArrived Fin(const common::FlowKey& flow, std::uint32_t sequence = 102);

/// The packet as the instance to which it is redirected receives it.
PacketArrived Handed(PacketArrived packet, const RedirectToInstance& redirect);

/// The target to which an action forwards; 0 for any other action.
common::TargetId ForwardedTo(const PacketAction& action);

}  // namespace sassafrasdyke::core::testing

/// Small configurations, views and packets for the tests of the core.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/balancer.h"

namespace sassafrasdyke::core::testing {

/// How big a sample configuration is.
struct SampleSize {
  std::uint32_t services{1};
  std::uint32_t targets_per_service{4};
  std::uint32_t domains{1};
  std::uint32_t partitions{16};
};

inline constexpr std::uint32_t kTargetsPerServiceLimit = 1000;

/// Services 1.., listening on 192.0.2.N:443; targets N * 1000 + 1.. of service
/// N, spread over domains 1.. in turn.
Configuration SampleConfiguration(const SampleSize& size);

/// An accepted revision of `configuration`.
std::shared_ptr<const Configuration> Accept(Configuration configuration);

/// Target `number` of the configuration by id; it must exist.
Target& TargetOf(Configuration& configuration, std::uint32_t id);

/// `instances` instances, spread over domains 1.. in turn, all usable, as
/// instance `self` sees them.
FleetView SampleView(std::uint32_t self, std::uint32_t instances,
                     std::uint32_t domains = 1);

/// The instance of a view; it must exist.
InstanceView& InstanceOf(FleetView& view, std::uint32_t id);

/// Flow number `caller` to service `service`.
common::FlowKey FlowOf(std::uint32_t caller, std::uint32_t service = 1);

PacketArrived Syn(const common::FlowKey& flow, std::uint32_t sequence = 1);
PacketArrived Data(const common::FlowKey& flow, std::uint32_t sequence = 2,
                   std::uint32_t bytes = 100);
PacketArrived Fin(const common::FlowKey& flow, std::uint32_t sequence = 102);

/// The packet as its next instance gets it.
PacketArrived Handed(PacketArrived packet, const RedirectToInstance& redirect);

/// The target that an action forwards to; 0 for any other action.
common::TargetId ForwardedTo(const PacketAction& action);

}  // namespace sassafrasdyke::core::testing

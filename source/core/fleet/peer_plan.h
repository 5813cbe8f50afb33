/// Which peers this instance communicates with, computed from the members and
/// the policy without coordination.
#pragma once

#include <vector>

#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/fleet_view.h"

namespace sassafrasdyke::core {

/// A link to another failure domain.
struct DomainLink {
  common::DomainId domain;
  /// Instances of that domain in order of preference; the next one is used when
  /// the current one is silent.
  std::vector<common::InstanceId> partners;
};

/// The peers of one instance, by their role.
struct PeerPlan {
  std::vector<common::InstanceId> watched;   ///< Watched by this instance.
  std::vector<common::InstanceId> watchers;  ///< They watch this instance.
  /// Further peers to send heartbeats to, when this instance watches too few
  /// for their answers to renew its lease reliably.
  std::vector<common::InstanceId> extra_peers;
  /// Peers of the own domain that reports and documents are relayed to.
  std::vector<common::InstanceId> RelayPeers() const;

  std::vector<DomainLink> links;
  /// Instances of the own domain that hold links to each other domain.
  std::vector<std::pair<common::DomainId, std::vector<common::InstanceId>>>
      link_holders;
  bool reader{false};
};

/// Links that a failure domain holds to each other domain.
inline constexpr std::size_t kLinksPerDomain = 2;

/// Least number of peers to send heartbeats to in the own domain, where there
/// are that many; their answers renew the lease.
inline constexpr std::size_t kMinHeartbeatPeers = 2;

/// Computes the plan. The plans of instances with the same members and policy
/// are consistent with each other.
PeerPlan MakePeerPlan(const SelfIdentity& self,
                      const std::vector<InstanceView>& members,
                      const FleetPolicy& policy);

}  // namespace sassafrasdyke::core

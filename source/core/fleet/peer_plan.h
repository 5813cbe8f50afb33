/// Which peers this instance talks to, computed from the members alone.
#pragma once

#include <vector>

#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/fleet_view.h"

namespace sassafrasdyke::core {

/// A link to another failure domain.
struct DomainLink {
  common::DomainId domain;
  /// Whom to talk to, best first; the next one when the first is silent.
  std::vector<common::InstanceId> partners;
};

/// The duties of one instance.
struct PeerPlan {
  std::vector<common::InstanceId> watched;   ///< By this instance.
  std::vector<common::InstanceId> watchers;  ///< Of this instance.
  /// Further peers to ask, because this instance watches too few to live on
  /// their answers.
  std::vector<common::InstanceId> asked;
  /// Peers of the own domain that news is passed on to.
  std::vector<common::InstanceId> Told() const;

  std::vector<DomainLink> links;
  /// Instances of the own domain that hold links to each other domain.
  std::vector<std::pair<common::DomainId, std::vector<common::InstanceId>>>
      link_holders;
  bool reader{false};
};

/// Links that a failure domain holds to each other one.
inline constexpr std::size_t kLinksPerDomain = 2;

/// Peers whose answers renew the lease, where there are as many.
inline constexpr std::size_t kLeastAsked = 2;

/// Makes the plan; everyone with the same members makes plans that fit.
PeerPlan MakePeerPlan(const SelfIdentity& self,
                      const std::vector<InstanceView>& members,
                      const FleetPolicy& policy);

}  // namespace sassafrasdyke::core

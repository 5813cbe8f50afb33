/// Chooses the target of a new flow.
#pragma once

#include <chrono>
#include <optional>
#include <span>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/packet.h"
#include "core/placement/subset_map.h"
#include "core/placement/target_set.h"

namespace sassafrasdyke::core {

/// Where a new flow goes, and why.
struct Placement {
  TargetSlot slot;
  PlacementReason reason{PlacementReason::kDefault};
};

/// A new flow with the state its placement depends on.
struct PlacementRequest {
  common::Fingerprint flow;
  const Service* service{nullptr};
  PartitionSubset targets;
  /// The target that the partition's flows without a record are sent to.
  TargetSlot fallback{kNoSlot};
  /// This instance's failure domain; its targets are preferred once none of the
  /// home domain can serve.
  common::DomainId local;
  /// Failure domains whose targets this instance can't reach.
  std::span<const common::DomainId> unreachable;
  /// No instance of the partition's home domain can own it, so the domain's
  /// targets may have failed with its instances.
  bool adopted{false};
  /// Use the fallback as long as it accepts flows. Set while another instance
  /// may also act as the partition's owner: it would send the flow there.
  bool prefer_fallback{false};
  /// Multiplies the service's `deviate_by`; grows as the copy budget is used
  /// up.
  double reluctance{1.0};
};

/// Places the flow; nothing when no target of the service can take it.
std::optional<Placement> Place(const PlacementRequest& request,
                               const TargetSet& targets,
                               std::chrono::milliseconds now);

}  // namespace sassafrasdyke::core

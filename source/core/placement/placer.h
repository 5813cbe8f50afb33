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

/// A new flow in its surroundings.
struct PlacementRequest {
  common::Fingerprint flow;
  const Service* service{nullptr};
  PartitionSubset targets;
  /// Where flows without a record of the partition are presumed to be.
  TargetSlot fallback{kNoSlot};
  /// The failure domain of this instance, preferred once the home can't serve.
  common::DomainId local;
  /// Failure domains whose targets can't be reached from here.
  std::span<const common::DomainId> unreachable;
  /// The partition's home has no instance that owns, so its targets may be as
  /// dead as those.
  bool adopted{false};
  /// Keep to the fallback as long as it takes flows: another instance may
  /// believe that it owns the partition, and would look for the flow there.
  bool prefer_fallback{false};
  /// Factor on the service's threshold; grows as the copy budget is used up.
  double reluctance{1.0};
};

/// Nothing when no target of the service can take it.
std::optional<Placement> Place(const PlacementRequest& request,
                               const TargetSet& targets,
                               std::chrono::milliseconds now);

}  // namespace sassafrasdyke::core

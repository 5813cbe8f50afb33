/// How a new flow's target is chosen among those that may take it.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// A target that may take the flow.
struct PlacementOption {
  TargetSlot slot;
  /// Open flows that this instance keeps there, for a weight of 100.
  double load{0};
};

/// A new flow that needs a target.
struct PlacementQuery {
  common::Fingerprint flow;
  /// Never empty; the first one is the partition's default.
  std::span<const PlacementOption> options;
  /// Open flows by which the default must be busier before the flow leaves it.
  double deviate_by{0};
};

/// A way to choose. Implementations keep no state between calls, so that two
/// instances with the same knowledge choose alike.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns the position of the chosen option.
  virtual std::size_t Choose(const PlacementQuery& query) const = 0;
};

/// Finds a policy by its registered name; null when there is none.
const PlacementPolicy* FindPlacementPolicy(std::string_view name);

/// The registered names, for checking a configuration.
std::vector<std::string_view> PlacementPolicyNames();

}  // namespace sassafrasdyke::core

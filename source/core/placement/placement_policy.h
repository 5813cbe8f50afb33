/// Interface and registry of the policies that choose a new flow's target among
/// the usable ones.
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
  /// This instance's open flows at the target, normalised to a weight of 100.
  double load{0};
};

/// The input of one placement decision.
struct PlacementQuery {
  common::Fingerprint flow;
  /// Never empty; the first one is the partition's default.
  std::span<const PlacementOption> options;
  /// How many more open flows than an alternative the default must have before
  /// the flow is placed elsewhere.
  double deviate_by{0};
};

/// A placement algorithm. Implementations are stateless, so that two instances
/// with the same inputs choose the same target.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns the chosen option's index in `query.options`.
  virtual std::size_t Choose(const PlacementQuery& query) const = 0;
};

/// Returns the policy registered under `name`, null when there is none.
const PlacementPolicy* FindPlacementPolicy(std::string_view name);

/// The registered names, for checking a configuration.
std::vector<std::string_view> PlacementPolicyNames();

}  // namespace sassafrasdyke::core

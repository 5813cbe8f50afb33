/// The placement policy `least-loaded`: the default target unless it has
/// clearly more open flows than an alternative.
#pragma once

#include "core/placement/placement_policy.h"

namespace sassafrasdyke::core {

/// Compares the default with one alternative that the flow's hash selects.
class LeastLoaded final : public PlacementPolicy {
 public:
  std::size_t Choose(const PlacementQuery& query) const override;
};

}  // namespace sassafrasdyke::core

/// The placement policy `least-loaded`: the default unless another target has
/// clearly less to do.
#pragma once

#include "core/placement/placement_policy.h"

namespace sassafrasdyke::core {

/// Compares the default with one other option that the flow's hash picks.
class LeastLoaded final : public PlacementPolicy {
 public:
  std::size_t Choose(const PlacementQuery& query) const override;
};

}  // namespace sassafrasdyke::core

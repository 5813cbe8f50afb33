/// The placement policy `hash-only`: always the default target.
#pragma once

#include "core/placement/placement_policy.h"

namespace sassafrasdyke::core {

/// Needs no exception records; balances only as evenly as the hash spreads
/// flows.
class HashOnly final : public PlacementPolicy {
 public:
  std::size_t Choose(const PlacementQuery& query) const override;
};

}  // namespace sassafrasdyke::core

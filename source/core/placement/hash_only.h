/// The placement policy `hash-only`: always the default target.
#pragma once

#include "core/placement/placement_policy.h"

namespace sassafrasdyke::core {

/// Costs no exceptions and balances only as well as hashing does.
class HashOnly final : public PlacementPolicy {
 public:
  std::size_t Choose(const PlacementQuery& query) const override;
};

}  // namespace sassafrasdyke::core

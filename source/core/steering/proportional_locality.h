/// Zone-aware routing: load in proportion to capacity.
#pragma once

#include "core/steering/spillover_locality.h"

namespace sassafrasdyke::core {

/// A domain keeps its share of the fleet's load, or what fills it to
/// `leave_at`, whichever is more. The rest spills over to the others, each of
/// which is filled up to the same utilization.
class ProportionalLocality final : public SpilloverLocality {
 public:
  using SpilloverLocality::SpilloverLocality;

 private:
  double KeptFraction(double utilization, double fleet) const override;
  double AcceptsUpTo(double fleet) const override;
};

}  // namespace sassafrasdyke::core

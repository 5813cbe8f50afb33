/// Spillover that grows with the utilization of the own domain.
#pragma once

#include "core/steering/spillover_locality.h"

namespace sassafrasdyke::core {

/// The probability that a flow leaves grows from 0 at `leave_at` to 1 at 0.5
/// above it, by the utilization that remains while flows leave with that
/// probability. Flows that leave go to the domains in proportion to their
/// headroom.
class HeadroomLocality final : public SpilloverLocality {
 public:
  using SpilloverLocality::SpilloverLocality;

 private:
  double KeptFraction(double utilization, double fleet) const override;
  double AcceptsUpTo(double fleet) const override;
};

}  // namespace sassafrasdyke::core

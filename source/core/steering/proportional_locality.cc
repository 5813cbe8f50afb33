#include "core/steering/proportional_locality.h"

#include <algorithm>

namespace sassafrasdyke::core {

double ProportionalLocality::KeptFraction(double utilization,
                                          double fleet) const {
  return std::min(1.0, this->AcceptsUpTo(fleet) / utilization);
}

double ProportionalLocality::AcceptsUpTo(double fleet) const {
  return std::max(this->LeaveAt(), fleet);
}

}  // namespace sassafrasdyke::core

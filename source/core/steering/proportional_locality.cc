#include "core/steering/proportional_locality.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// A domain accepts no load that would fill its slots. While the whole fleet is
/// overloaded, flows that change domains only pass by the limits that hold new
/// flows back.
constexpr double kFull = 0.9;

}  // namespace

double ProportionalLocality::KeptFraction(double utilization,
                                          double fleet) const {
  return std::min(1.0, this->AcceptsUpTo(fleet) / utilization);
}

double ProportionalLocality::AcceptsUpTo(double fleet) const {
  return std::max(this->LeaveAt(), std::min(fleet, kFull));
}

}  // namespace sassafrasdyke::core

#include "core/steering/headroom_locality.h"

namespace sassafrasdyke::core {
namespace {

/// Utilization over which the probability to leave grows from 0 to 1.
constexpr double kRampWidth = 0.5;
/// Load of others must not need a domain's queues.
constexpr double kFull = 1.0;

}  // namespace

// With probability p, the utilization that remains is r = u * (1 - p), and p =
// (r - leave_at) / width. Solved for 1 - p.
double HeadroomLocality::KeptFraction(double utilization,
                                      double /*fleet*/) const {
  return (kRampWidth + this->LeaveAt()) / (kRampWidth + utilization);
}

double HeadroomLocality::AcceptsUpTo(double /*fleet*/) const { return kFull; }

}  // namespace sassafrasdyke::core

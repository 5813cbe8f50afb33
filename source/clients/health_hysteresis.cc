#include "clients/health_hysteresis.h"

#include <algorithm>

namespace sassafrasdyke::clients {

std::optional<core::TargetHealth> HealthHysteresis::Observe(
    core::TargetHealth reading) {
  if (reading > this->state) {
    this->better = {};
    this->worse.nearest = this->worse.length == 0
                              ? reading
                              : std::min(this->worse.nearest, reading);
    ++this->worse.length;
    // A target that nobody knew and that is well needs no proof.
    const bool first = reading == core::TargetHealth::kHealthy;
    return this->Change(this->worse, first ? 1 : this->limits.fall);
  }
  this->worse = {};
  if (reading == this->state) {
    this->better = {};
    return std::nullopt;
  }
  this->better.nearest = std::max(this->better.nearest, reading);
  ++this->better.length;
  return this->Change(this->better, this->limits.rise);
}

std::optional<core::TargetHealth> HealthHysteresis::Change(const Run& run,
                                                           unsigned needed) {
  if (run.length < needed) {
    return std::nullopt;
  }
  this->state = run.nearest;
  this->worse = {};
  this->better = {};
  return this->state;
}

}  // namespace sassafrasdyke::clients

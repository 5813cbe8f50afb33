/// Decides when readings of a target's health amount to a change.
#pragma once

#include <optional>

#include "core/messages.h"

namespace sassafrasdyke::clients {

/// Readings in a row that a change takes.
struct HysteresisLimits {
  unsigned fall{2};  ///< For a worse state.
  unsigned rise{3};  ///< For a better state.
};

/// The state of one target. Health endpoints lag and mislead: a target on the
/// edge says another thing each time, and each change that is passed on moves
/// new flows on every instance. Only what several readings agree on counts.
class HealthHysteresis {
 public:
  explicit HealthHysteresis(HysteresisLimits limits) : limits(limits) {}

  /// Takes a reading, never `kUnknown`. Returns the new state when it changes:
  /// the one nearest to the old state that the readings in a row support.
  std::optional<core::TargetHealth> Observe(core::TargetHealth reading);
  core::TargetHealth State() const { return this->state; }

 private:
  /// Readings in a row on one side of the state.
  struct Run {
    unsigned length{0};
    core::TargetHealth nearest{core::TargetHealth::kUnknown};
  };

  std::optional<core::TargetHealth> Change(const Run& run, unsigned needed);

  HysteresisLimits limits;
  core::TargetHealth state{core::TargetHealth::kUnknown};
  Run worse;
  Run better;
};

}  // namespace sassafrasdyke::clients

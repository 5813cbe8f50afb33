/// Decides when an instance that was told to stop may end.
#pragma once

#include <chrono>
#include <optional>

#include "core/configuration.h"

namespace sassafrasdyke::app {

/// What a leaving instance has still to do.
struct LeaveProgress {
  /// Every exception is with its heir.
  bool handed_over{false};
  /// When the last packet came; monotonic, since process start.
  std::chrono::milliseconds last_packet{0};
};

/// Why a leaving instance ends.
enum class LeaveEnd {
  kQuiet,     ///< Handed over, and no packet came for a while.
  kDeadline,  ///< It has stayed for as long as it may.
};

/// Starts when the instance is told to stop. Being told again changes nothing:
/// an impatient second signal must not cut flows that are being handed over.
class LeaveWatch {
 public:
  void OnLeave(std::chrono::milliseconds now);
  bool Leaving() const { return this->since.has_value(); }

  /// Whether the instance may end at `now`, and why.
  std::optional<LeaveEnd> Ends(const LeaveProgress& progress,
                               const core::FleetPolicy& policy,
                               std::chrono::milliseconds now) const;

 private:
  std::optional<std::chrono::milliseconds> since;
};

}  // namespace sassafrasdyke::app

/// Decides when this instance holds a watch on the platform.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/fleet/backoff.h"
#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {

/// Delays the start of a watch by a random time, and the retry of a failed one
/// by a back-off.
class PlatformWatch {
 public:
  explicit PlatformWatch(std::uint64_t seed) : jitter(seed) {}

  /// Sets whether the watch is wanted at `now`; a newly wanted one starts after
  /// a random delay of up to `spread`.
  void SetWanted(bool wanted, std::chrono::milliseconds now,
                 std::chrono::milliseconds spread);

  /// Handles the result of the last read; a failure starts the back-off.
  void OnAnswer(bool reached, std::chrono::milliseconds now);

  bool Watching() const { return this->watching; }

 private:
  Jitter jitter;
  Backoff backoff{BackoffLimits{}};
  bool wanted{false};
  bool watching{false};
  std::chrono::milliseconds start_at{0};
};

}  // namespace sassafrasdyke::core

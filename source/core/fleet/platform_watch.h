/// Decides when this instance holds the platform's watch.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/fleet/backoff.h"
#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {

/// Spreads the starts of watches and the repeats of failed ones.
class PlatformWatch {
 public:
  explicit PlatformWatch(std::uint64_t seed) : jitter(seed) {}

  /// Takes whether the watch is wanted at `now`; it starts at a moment chosen
  /// at random within `spread`.
  void Want(bool wanted, std::chrono::milliseconds now,
            std::chrono::milliseconds spread);

  /// Takes how the last read ended.
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

/// Exponential back-off with full jitter.
#pragma once

#include <chrono>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {

/// The bounds of a back-off.
struct BackoffLimits {
  std::chrono::milliseconds first{200};
  std::chrono::milliseconds longest{std::chrono::seconds{10}};
};

/// The back-off of one series of attempts.
class Backoff {
 public:
  explicit Backoff(BackoffLimits limits) : limits(limits) {}

  /// The wait before the next attempt: uniform between 0 and a bound that
  /// doubles with each failure.
  std::chrono::milliseconds OnFailure(Jitter& jitter);

  void OnSuccess() { this->failures = 0; }
  unsigned Failures() const { return this->failures; }

 private:
  BackoffLimits limits;
  unsigned failures{0};
};

}  // namespace sassafrasdyke::core

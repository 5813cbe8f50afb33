/// A timing wheel that yields the flows to check for expiry.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// A flow that is due for an expiry check.
struct DueFlow {
  common::Fingerprint flow;
  std::uint32_t due{0};  ///< Second of the monotonic clock.
};

/// A timing wheel with one slot per second. An entry further away than the
/// wheel is long comes up early and is scheduled again, so that a long idle
/// time costs no more memory than a short one.
class ExpiryWheel {
 public:
  /// Schedules a check of `flow` once `at` has passed; returns the second for
  /// which it is scheduled.
  std::uint32_t Schedule(common::Fingerprint flow,
                         std::chrono::milliseconds at);

  /// Removes and returns the next flow that is due at `now`, if there is one.
  std::optional<DueFlow> Next(std::chrono::milliseconds now);

 private:
  static constexpr std::uint32_t kSeconds = 256;

  std::array<std::deque<DueFlow>, kSeconds> slots;
  /// The second whose slot is being emptied.
  std::uint32_t current{0};
};

}  // namespace sassafrasdyke::core

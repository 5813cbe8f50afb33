/// Says which flows to look at for expiry, a bounded number a call.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// A flow that is due for a look.
struct DueFlow {
  common::Fingerprint flow;
  std::uint32_t due{0};  ///< The second it was scheduled for.
};

/// A wheel of seconds. An entry further away than the wheel is long comes up
/// early and is scheduled again, so that a long idle time costs no more memory
/// than a short one.
class ExpiryWheel {
 public:
  /// Schedules a look at `flow` once `at` has passed; returns the second under
  /// which it is scheduled.
  std::uint32_t Schedule(common::Fingerprint flow,
                         std::chrono::milliseconds at);

  /// Takes the next flow that is due at `now`; nothing when none is.
  std::optional<DueFlow> Next(std::chrono::milliseconds now);

 private:
  static constexpr std::uint32_t kSeconds = 256;

  std::array<std::deque<DueFlow>, kSeconds> slots;
  /// The second whose slot is emptied next.
  std::uint32_t current{0};
};

}  // namespace sassafrasdyke::core

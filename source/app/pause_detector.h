/// Notices that the process was stopped for a while.
#pragma once

#include <chrono>

namespace sassafrasdyke::app {

/// A loop that wakes often reports each time it wakes; a long gap means that
/// the process, or the whole machine, stood still.
class PauseDetector {
 public:
  /// Gaps longer than `longest` are pauses.
  explicit PauseDetector(std::chrono::milliseconds longest)
      : longest(longest) {}

  /// Takes the time of a wake-up; true when a pause lies before it.
  bool OnWake(std::chrono::milliseconds now) {
    const bool paused = now - this->last > this->longest;
    this->last = now;
    return paused;
  }

 private:
  std::chrono::milliseconds longest;
  std::chrono::milliseconds last{0};
};

/// Ten ticks: a busy machine delays a wake-up by less, and every lease is
/// longer.
inline constexpr std::chrono::milliseconds kLongestGap{1000};
/// How often the tasks tick.
inline constexpr std::chrono::milliseconds kTick{100};

}  // namespace sassafrasdyke::app

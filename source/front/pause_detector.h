/// Notices that the process was stopped for a while, before anything that
/// waited in its sockets is read.
#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "front/process_clock.h"

namespace sassafrasdyke::front {

/// What depends on having seen everything as it happened.
class PauseListener {
 public:
  virtual ~PauseListener() = default;
  /// The process was paused for `length` until `now`.
  virtual void OnPause(std::chrono::milliseconds length,
                       std::chrono::milliseconds now) = 0;
};

/// The loop wakes at every tick, so a long gap between two wake-ups is a pause.
class PauseDetector {
 public:
  /// Ordinary delays of a machine whose quota is used up stay under 100 ms.
  static constexpr std::chrono::milliseconds kLongestGap{300};

  /// `clock` must outlive the detector.
  explicit PauseDetector(const ProcessClock& clock) : clock(clock) {}

  /// `listener` must live as long as `OnWake` is called.
  void Add(PauseListener& listener) { this->listeners.push_back(&listener); }
  /// Called first by whatever the loop wakes. Tells all listeners of a pause
  /// that has just ended.
  void OnWake();

 private:
  const ProcessClock& clock;
  std::vector<PauseListener*> listeners;
  std::optional<std::chrono::milliseconds> awake_at;
};

}  // namespace sassafrasdyke::front

/// Tells which digests may be older than they seem, after a pause.
#pragma once

#include <chrono>

namespace sassafrasdyke::core {

/// Digests that arrive while the process is paused wait in its socket. Their
/// ages are relative to when they were sent, so once read they would count as
/// new. Times are monotonic.
class ResumeFilter {
 public:
  /// Shorter pauses are in the range of the delays that ages tolerate.
  static constexpr std::chrono::milliseconds kMinPause{1000};
  /// The socket holds fewer than 300 digests, which are read in some 30 ms; a
  /// busy machine takes several times that.
  static constexpr std::chrono::milliseconds kDrainTime{250};

  /// The process was paused for `length` until `now`. Returns whether digests
  /// are discarded because of it.
  bool OnPause(std::chrono::milliseconds length,
               std::chrono::milliseconds now) {
    if (length < kMinPause) {
      return false;
    }
    this->discards_until = now + kDrainTime;
    return true;
  }
  /// Whether a digest that is read now may have waited.
  bool Discards(std::chrono::milliseconds now) const {
    return now < this->discards_until;
  }

 private:
  std::chrono::milliseconds discards_until{0};
};

}  // namespace sassafrasdyke::core

#include "front/pause_detector.h"

#include <utility>

namespace sassafrasdyke::front {

void PauseDetector::OnWake() {
  const std::chrono::milliseconds now = this->clock.Now();
  const std::chrono::milliseconds gap =
      now - std::exchange(this->awake_at, now).value_or(now);
  if (gap <= kLongestGap) {
    return;
  }
  for (PauseListener* const listener : this->listeners) {
    listener->OnPause(gap, now);
  }
}

}  // namespace sassafrasdyke::front

#include "core/fleet/platform_watch.h"

namespace sassafrasdyke::core {

void PlatformWatch::SetWanted(bool wanted, std::chrono::milliseconds now,
                              std::chrono::milliseconds spread) {
  if (wanted && !this->wanted) {
    // All instances of a rack that restarts would otherwise read the platform
    // at the same moment, and its rate limit applies to all readers together.
    this->start_at = now + this->jitter.UpTo(spread);
  }
  this->wanted = wanted;
  this->watching = wanted && now >= this->start_at;
}

void PlatformWatch::OnAnswer(bool reached, std::chrono::milliseconds now) {
  if (reached) {
    this->backoff.OnSuccess();
    return;
  }
  this->start_at = now + this->backoff.OnFailure(this->jitter);
  this->watching = this->wanted && now >= this->start_at;
}

}  // namespace sassafrasdyke::core

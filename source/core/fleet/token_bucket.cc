#include "core/fleet/token_bucket.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

constexpr std::chrono::milliseconds kLongestGap{1000};
constexpr std::size_t kMillisecondsPerSecond = 1000;

}  // namespace

TokenBucket::TokenBucket(BucketLimits limits)
    : limits(limits), available(limits.burst) {}

bool TokenBucket::Take(std::size_t bytes, std::chrono::milliseconds now) {
  this->Refill(now);
  if (bytes > this->available) {
    return false;
  }
  this->available -= bytes;
  return true;
}

void TokenBucket::SetLimits(BucketLimits limits) {
  this->limits = limits;
  this->available = std::min(this->available, limits.burst);
}

void TokenBucket::Refill(std::chrono::milliseconds now) {
  // A process that was paused for minutes would earn minutes of messages and
  // send them at once, when its peers are busy with its return. One would see
  // heartbeats dropped right after a wake-up.
  const std::chrono::milliseconds gap = std::clamp(
      now - this->refilled_at, std::chrono::milliseconds{0}, kLongestGap);
  const std::size_t earned = this->limits.per_second *
                             static_cast<std::size_t>(gap.count()) /
                             kMillisecondsPerSecond;
  if (earned == 0) {
    return;  // Keep the old time, so that short gaps add up.
  }
  this->available = std::min(this->limits.burst, this->available + earned);
  this->refilled_at = now;
}

}  // namespace sassafrasdyke::core

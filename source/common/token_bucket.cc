#include "common/token_bucket.h"

#include <algorithm>

namespace sassafrasdyke::common {
namespace {

constexpr std::chrono::milliseconds kLongestGap{1000};
constexpr std::size_t kMillisecondsPerSecond = 1000;

}  // namespace

TokenBucket::TokenBucket(BucketLimits limits)
    : limits(limits), available(limits.burst) {}

bool TokenBucket::Take(std::size_t amount, std::chrono::milliseconds now) {
  this->Refill(now);
  if (amount > this->available) {
    return false;
  }
  this->available -= amount;
  return true;
}

void TokenBucket::SetLimits(BucketLimits limits) {
  const bool is_first = this->limits.burst == 0;
  this->limits = limits;
  this->available =
      is_first ? limits.burst : std::min(this->available, limits.burst);
}

double TokenBucket::Fill(std::chrono::milliseconds now) {
  if (this->limits.burst == 0) {
    return 0.0;
  }
  this->Refill(now);
  return static_cast<double>(this->available) /
         static_cast<double>(this->limits.burst);
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

}  // namespace sassafrasdyke::common

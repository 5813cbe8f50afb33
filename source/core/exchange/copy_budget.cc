#include "core/exchange/copy_budget.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

constexpr std::chrono::milliseconds kLongestGap{std::chrono::seconds{1}};
constexpr std::size_t kMillisecondsPerSecond = 1000;

}  // namespace

void CopyBudget::SetLimits(CopyLimits limits) {
  this->limits = limits;
  this->available =
      this->started ? std::min(this->available, limits.burst) : limits.burst;
  this->started = true;
}

bool CopyBudget::Take(std::size_t bytes, std::chrono::milliseconds now) {
  this->Refill(now);
  if (bytes > this->available) {
    return false;
  }
  this->available -= bytes;
  return true;
}

double CopyBudget::Fill() const {
  if (this->limits.burst == 0) {
    return 0.0;
  }
  return static_cast<double>(this->available) /
         static_cast<double>(this->limits.burst);
}

void CopyBudget::Refill(std::chrono::milliseconds now) {
  // A process that was paused for minutes wakes with a large gap. Without the
  // bound it would send minutes of copies at once over a link that its peers
  // share; one would see their heartbeats come late.
  const std::chrono::milliseconds gap = std::clamp(
      now - this->refilled_at, std::chrono::milliseconds{0}, kLongestGap);
  const std::size_t earned = this->limits.bytes_per_second *
                             static_cast<std::size_t>(gap.count()) /
                             kMillisecondsPerSecond;
  if (earned == 0) {
    return;  // Keep the old time, so that short gaps add up.
  }
  this->available = std::min(this->limits.burst, this->available + earned);
  this->refilled_at = now;
}

}  // namespace sassafrasdyke::core

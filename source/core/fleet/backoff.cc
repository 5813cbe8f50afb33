#include "core/fleet/backoff.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Keeps the shifted wait from overflowing.
constexpr unsigned kMaxDoublings = 16;

}  // namespace

std::chrono::milliseconds Backoff::OnFailure(Jitter& jitter) {
  const unsigned doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  // Without jitter, instances that lost the same peer at the same moment would
  // retry together, again and again, and overload the next peer.
  return jitter.UpTo(
      std::min(this->limits.longest, this->limits.first * (1U << doublings)));
}

}  // namespace sassafrasdyke::core

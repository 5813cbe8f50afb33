#include "core/fleet/backoff.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Keeps the doubling inside the range of the type.
constexpr unsigned kMostDoublings = 16;

}  // namespace

std::chrono::milliseconds Backoff::OnFailure(Jitter& jitter) {
  const unsigned doublings = std::min(this->failures, kMostDoublings);
  ++this->failures;
  // Instances that lost the same peer at the same moment would otherwise come
  // back together, again and again, and overload the next peer.
  return jitter.UpTo(
      std::min(this->limits.longest, this->limits.first * (1U << doublings)));
}

}  // namespace sassafrasdyke::core

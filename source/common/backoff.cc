#include "common/backoff.h"

#include <algorithm>

namespace sassafrasdyke::common {

Backoff::Backoff(std::chrono::milliseconds first,
                 std::chrono::milliseconds longest, std::uint64_t seed)
    : first(first), longest(longest), bound(first), random(seed) {}

std::chrono::milliseconds Backoff::Fail() {
  const std::chrono::milliseconds wait = this->Jitter(this->bound);
  this->bound = std::min(this->longest, this->bound * 2);
  return wait;
}

void Backoff::Succeed() { this->bound = this->first; }

std::chrono::milliseconds Backoff::Jitter(
    std::chrono::milliseconds longest_wait) {
  std::uniform_int_distribution<std::chrono::milliseconds::rep> uniform(
      0, longest_wait.count());
  return std::chrono::milliseconds(uniform(this->random));
}

}  // namespace sassafrasdyke::common

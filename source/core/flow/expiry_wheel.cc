#include "core/flow/expiry_wheel.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

std::uint32_t SecondOf(std::chrono::milliseconds time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

}  // namespace

std::uint32_t ExpiryWheel::Schedule(common::Fingerprint flow,
                                    std::chrono::milliseconds at) {
  const std::uint32_t due = std::clamp(SecondOf(at) + 1, this->current + 1,
                                       this->current + kSeconds - 1);
  this->slots[due % kSeconds].push_back({flow, due});
  return due;
}

std::optional<DueFlow> ExpiryWheel::Next(std::chrono::milliseconds now) {
  const std::uint32_t second = SecondOf(now);
  while (this->current <= second) {
    std::deque<DueFlow>& slot = this->slots[this->current % kSeconds];
    if (!slot.empty()) {
      const DueFlow next = slot.front();
      slot.pop_front();
      return next;
    }
    ++this->current;
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::core

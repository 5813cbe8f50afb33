#include "core/steering/departure_rate.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Waiting time below which a rate would be that of a few SYNs.
constexpr milliseconds kMinWaiting{500};

}  // namespace

DepartureRate::Slot& DepartureRate::SlotOf(milliseconds now) {
  const std::int64_t number = now / kSlot;
  Slot& slot = this->slots.at(static_cast<std::size_t>(number) % kSlots);
  if (slot.number != number) {
    slot = {number, false, 0};
  }
  return slot;
}

void DepartureRate::OnWaiting(milliseconds now) {
  this->SlotOf(now).waiting = true;
}

void DepartureRate::OnLeft(milliseconds now) {
  Slot& slot = this->SlotOf(now);
  slot.waiting = true;
  ++slot.left;
}

// The slot that `now` lies in has only begun and isn't counted.
std::optional<double> DepartureRate::PerSecond(milliseconds now) const {
  const std::int64_t current = now / kSlot;
  milliseconds waiting{0};
  unsigned left = 0;
  for (const Slot& slot : this->slots) {
    const bool recent =
        slot.number >= 0 && slot.number < current &&
        slot.number >= current - static_cast<std::int64_t>(kSlots);
    if (recent && slot.waiting) {
      waiting += kSlot;
      left += slot.left;
    }
  }
  if (waiting < kMinWaiting) {
    return std::nullopt;
  }
  return left / std::chrono::duration<double>(waiting).count();
}

}  // namespace sassafrasdyke::core

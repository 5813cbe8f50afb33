#include "core/steering/departure_rate.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Waiting time below which a rate would be that of a few SYNs.
constexpr milliseconds kMinWaiting{500};
/// Departures that are assumed at least: with none seen, up to three were to be
/// expected, with a confidence of 95%.
constexpr unsigned kLeastDepartures = 3;
/// Times before this are no longer counted.
constexpr milliseconds kWindow{1000};

}  // namespace

DepartureRate::Slot& DepartureRate::SlotOf(milliseconds now) {
  const std::int64_t number = now / kSlot;
  Slot& slot = this->slots.at(static_cast<std::size_t>(number) % kSlots);
  if (slot.number != number) {
    slot = {number, milliseconds{0}, 0};
  }
  return slot;
}

void DepartureRate::OnQueue(bool waits, milliseconds now) {
  milliseconds at = std::max(this->known_until, now - kWindow);
  while (this->waits && at < now) {
    const milliseconds end = std::min(now, (at / kSlot + 1) * kSlot);
    this->SlotOf(at).waited += end - at;
    at = end;
  }
  this->waits = waits;
  this->known_until = now;
}

std::optional<double> DepartureRate::PerSecond(milliseconds now) const {
  const std::int64_t current = now / kSlot;
  milliseconds waited{0};
  unsigned left = 0;
  for (const Slot& slot : this->slots) {
    if (slot.number > current - static_cast<std::int64_t>(kSlots)) {
      waited += slot.waited;
      left += slot.left;
    }
  }
  if (waited < kMinWaiting) {
    return std::nullopt;
  }
  return std::max(left, kLeastDepartures) /
         std::chrono::duration<double>(waited).count();
}

}  // namespace sassafrasdyke::core

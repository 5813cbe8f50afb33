/// The rate at which SYNs leave the SYN queue while any wait.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sassafrasdyke::core {

/// Counts over the last second. Times are monotonic.
class DepartureRate {
 public:
  /// SYNs wait.
  void OnWaiting(std::chrono::milliseconds now);
  /// A SYN left the queue and was forwarded.
  void OnLeft(std::chrono::milliseconds now);
  void Clear() { *this = DepartureRate(); }

  /// SYNs that leave per second while any wait; nothing unless SYNs waited for
  /// at least half of the last second.
  std::optional<double> PerSecond(std::chrono::milliseconds now) const;

 private:
  static constexpr std::chrono::milliseconds kSlot{100};
  static constexpr std::size_t kSlots = 10;

  struct Slot {
    std::int64_t number{-1};  ///< Since process start.
    bool waiting{false};
    unsigned left{0};
  };

  Slot& SlotOf(std::chrono::milliseconds now);

  std::array<Slot, kSlots> slots;
};

}  // namespace sassafrasdyke::core

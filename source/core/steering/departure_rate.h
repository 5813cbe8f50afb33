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
  /// Whether SYNs wait from now on. Called at least at every change.
  void OnQueue(bool waits, std::chrono::milliseconds now);
  /// A SYN left the queue and was forwarded.
  void OnLeft(std::chrono::milliseconds now) { ++this->SlotOf(now).left; }
  void Clear() { *this = DepartureRate(); }

  /// SYNs that leave per second while any wait, an upper bound when few have
  /// left; nothing unless SYNs waited for at least half of the last second.
  /// Times without any don't count: flows are admitted past the queue then.
  std::optional<double> PerSecond(std::chrono::milliseconds now) const;

 private:
  static constexpr std::chrono::milliseconds kSlot{100};
  static constexpr std::size_t kSlots = 10;

  struct Slot {
    std::int64_t number{-1};  ///< Since process start.
    std::chrono::milliseconds waited{0};
    unsigned left{0};
  };

  Slot& SlotOf(std::chrono::milliseconds now);

  std::array<Slot, kSlots> slots;
  bool waits{false};
  std::chrono::milliseconds known_until{0};
};

}  // namespace sassafrasdyke::core

/// Runs actions at their time. Live, libev moves its clock; in tests the test
/// does, so the stand-ins behave alike in both.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace sassafrasdyke::rig {

/// A queue of actions ordered by time; those of one time run in the order in
/// which they were added.
class Scheduler {
 public:
  using Action = std::function<void()>;

  /// Time since the start of the run.
  std::chrono::microseconds Now() const { return this->now; }

  /// Runs `action` once, `delay` from now.
  void After(std::chrono::microseconds delay, Action action);

  /// Moves the clock to `until` and runs everything due on the way.
  void RunUntil(std::chrono::microseconds until);

  /// When the next action is due; nothing when none waits.
  std::optional<std::chrono::microseconds> NextDue() const;

 private:
  struct Entry {
    std::chrono::microseconds due;
    std::uint64_t order;
    Action action;
  };
  struct Later {
    bool operator()(const Entry& left, const Entry& right) const;
  };

  std::chrono::microseconds now{0};
  std::uint64_t next_order{0};
  std::priority_queue<Entry, std::vector<Entry>, Later> entries;
};

}  // namespace sassafrasdyke::rig

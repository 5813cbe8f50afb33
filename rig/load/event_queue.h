/// The clock of the load model: functions that run at their simulated times.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace sassafrasdyke::rig {

/// Events of the same time run in the order in which they were added.
class EventQueue {
 public:
  using Time = std::chrono::microseconds;

  void After(Time wait, std::function<void()> run) {
    this->events.push({this->now + wait, ++this->last_order, std::move(run)});
  }

  void RunUntil(Time end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  Time Now() const { return this->now; }
  /// Whole milliseconds, the unit of the core's clocks.
  std::chrono::milliseconds NowMs() const {
    return std::chrono::floor<std::chrono::milliseconds>(this->now);
  }

 private:
  struct Event {
    Time at{0};
    std::uint64_t order{0};
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t last_order{0};
  Time now{0};
};

}  // namespace sassafrasdyke::rig

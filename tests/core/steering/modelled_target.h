/// A simulated target with slots and a queue, for load tests. Callers are
/// identified by numbers.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace sassafrasdyke::core {

class ModelledTarget {
 public:
  /// Takes a request; false when the queue is full.
  bool Offer(std::size_t caller) {
    if (this->queue.size() >= kQueue) {
      return false;
    }
    this->queue.push_back(caller);
    return true;
  }

  /// Returns the callers whose requests are done, and starts others in their
  /// slots. `work_time()` returns how long each started request takes.
  template <typename WorkTime>
  std::vector<std::size_t> Work(std::chrono::milliseconds now,
                                WorkTime work_time) {
    std::vector<std::size_t> done;
    for (const auto& [caller, at] : this->in_work) {
      if (at <= now) {
        done.push_back(caller);
      }
    }
    for (const std::size_t caller : done) {
      this->in_work.erase(caller);
    }
    while (!this->queue.empty() && this->in_work.size() < kSlots) {
      this->in_work[this->queue.front()] = now + work_time();
      this->queue.pop_front();
    }
    return done;
  }

 private:
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueue = 8;

  std::deque<std::size_t> queue;
  /// Callers by number, and when their requests are done.
  std::map<std::size_t, std::chrono::milliseconds> in_work;
};

}  // namespace sassafrasdyke::core

#include "rig/scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasdyke::rig {

bool Scheduler::Later::operator()(const Entry& left, const Entry& right) const {
  return std::tie(left.due, left.order) > std::tie(right.due, right.order);
}

void Scheduler::After(std::chrono::microseconds delay, Action action) {
  this->entries.push(
      Entry{this->now + delay, this->next_order++, std::move(action)});
}

void Scheduler::RunUntil(std::chrono::microseconds until) {
  while (!this->entries.empty() && this->entries.top().due <= until) {
    Entry entry = this->entries.top();
    this->entries.pop();
    this->now = std::max(this->now, entry.due);
    entry.action();
  }
  this->now = std::max(this->now, until);
}

std::optional<std::chrono::microseconds> Scheduler::NextDue() const {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  return this->entries.top().due;
}

}  // namespace sassafrasdyke::rig

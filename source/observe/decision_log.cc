#include "observe/decision_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "observe/log_line.h"

namespace sassafrasdyke::observe {

DecisionLog::DecisionLog(const LogIdentity& identity,
                         std::unique_ptr<LogSink> sink, std::size_t capacity)
    : identity(identity),
      sink(std::move(sink)),
      capacity(capacity),
      writer([this] { this->Run(); }) {}

DecisionLog::~DecisionLog() {
  {
    const std::lock_guard lock(this->mutex);
    this->ending = true;
  }
  this->filled.notify_one();
  this->writer.join();
}

void DecisionLog::Post(std::vector<LogEvent> events) {
  if (events.empty()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    const std::size_t room = this->capacity - this->queue.size();
    const std::size_t taken = std::min(room, events.size());
    // A full disk or a stuck terminal must not hold up packets: callers would
    // see stalls. The lines are lost instead, and a metric says how many.
    this->dropped += events.size() - taken;
    const auto end = events.begin() + static_cast<std::ptrdiff_t>(taken);
    std::move(events.begin(), end, std::back_inserter(this->queue));
  }
  this->filled.notify_one();
}

void DecisionLog::Post(LogEvent event) {
  std::vector<LogEvent> events;
  events.push_back(std::move(event));
  this->Post(std::move(events));
}

void DecisionLog::Run() {
  for (std::vector<LogEvent> events = this->Take(); !events.empty();
       events = this->Take()) {
    for (const LogEvent& event : events) {
      this->sink->Write(WriteLine(this->identity, event));
      ++this->written;
    }
  }
}

std::vector<LogEvent> DecisionLog::Take() {
  std::unique_lock lock(this->mutex);
  this->filled.wait(lock,
                    [this] { return this->ending || !this->queue.empty(); });
  return std::exchange(this->queue, {});
}

}  // namespace sassafrasdyke::observe

/// The queue between those who decide and the task that writes the log.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "observe/log_event.h"
#include "observe/log_sink.h"

namespace sassafrasdyke::observe {

/// Takes events from any task without waiting for the sink, and writes them on
/// a thread of its own.
class DecisionLog {
 public:
  /// Holds at most `capacity` events that are not yet being written.
  DecisionLog(const LogIdentity& identity, std::unique_ptr<LogSink> sink,
              std::size_t capacity);
  /// Writes what is queued, then ends.
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  /// Queues events, or counts those for which there is no room. Never waits
  /// for a write.
  void Post(std::vector<LogEvent> events);
  void Post(LogEvent event);

  std::uint64_t Dropped() const { return this->dropped.load(); }
  std::uint64_t Written() const { return this->written.load(); }

 private:
  void Run();
  /// Waits for events; empty when the log ends.
  std::vector<LogEvent> Take();

  const LogIdentity identity;
  const std::unique_ptr<LogSink> sink;
  const std::size_t capacity;
  std::mutex mutex;
  std::condition_variable filled;
  std::vector<LogEvent> queue;
  bool ending{false};
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> written{0};
  std::thread writer;
};

}  // namespace sassafrasdyke::observe

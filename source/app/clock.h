/// The process's monotonic clock.
#pragma once

#include <chrono>

namespace sassafrasdyke::app {

/// Time since the clock was made. It goes on while the machine sleeps: a
/// virtual machine that was suspended for an hour must find its lease an hour
/// old, and the ordinary monotonic clock would hide the hour.
class Clock {
 public:
  Clock();
  std::chrono::milliseconds Now() const;

 private:
  std::chrono::nanoseconds start;
};

/// Processor time that the calling thread has used.
std::chrono::milliseconds ThreadCpuTime();

}  // namespace sassafrasdyke::app

/// The process's monotonic clock.
#pragma once

#include <chrono>

namespace sassafrasdyke::app {

/// Tells the time since process start.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Safe to call from any task; never falls.
  virtual std::chrono::milliseconds Now() const = 0;
};

/// The machine's clock. It goes on while the machine sleeps: a virtual machine
/// that was suspended for an hour must find its lease an hour old, and the
/// ordinary monotonic clock would hide the hour.
class SystemClock final : public Clock {
 public:
  SystemClock();
  std::chrono::milliseconds Now() const override;

 private:
  std::chrono::nanoseconds start;
};

/// Processor time that the calling thread has used.
std::chrono::milliseconds ThreadCpuTime();

}  // namespace sassafrasdyke::app

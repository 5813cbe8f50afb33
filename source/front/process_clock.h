/// The clock of the process, as its parts see it.
#pragma once

#include <chrono>

namespace sassafrasdyke::front {

/// Tells the time since process start; monotonic, and goes on while the machine
/// is suspended.
class ProcessClock {
 public:
  virtual ~ProcessClock() = default;
  virtual std::chrono::milliseconds Now() const = 0;
};

}  // namespace sassafrasdyke::front

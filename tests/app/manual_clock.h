/// A clock that a test moves.
#pragma once

#include <atomic>

#include "app/clock.h"

namespace sassafrasdyke::app {

class ManualClock final : public Clock {
 public:
  std::chrono::milliseconds Now() const override {
    return std::chrono::milliseconds{this->now.load()};
  }
  void Advance(std::chrono::milliseconds by) { this->now += by.count(); }

 private:
  std::atomic<std::int64_t> now{0};
};

}  // namespace sassafrasdyke::app

/// Runs an event loop in a test until something has happened.
#pragma once

#include <ev++.h>

#include <chrono>
#include <functional>

namespace sassafrasdyke::tests {

/// Runs `loop` until `done` holds. Returns false after a minute, which only a
/// fault can take; no verdict depends on how fast the machine is.
inline bool RunUntil(ev::loop_ref loop, const std::function<bool()>& done) {
  constexpr auto kPatience = std::chrono::minutes{1};
  constexpr double kWakeUp = 0.005;
  const auto end = std::chrono::steady_clock::now() + kPatience;
  struct Ignore {
    void Tick() {}
  } ignore;
  ev::timer wake_up(loop);
  wake_up.set<Ignore, &Ignore::Tick>(&ignore);
  wake_up.start(kWakeUp, kWakeUp);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    loop.run(ev::ONCE);
  }
  return true;
}

}  // namespace sassafrasdyke::tests

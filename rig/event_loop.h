/// Lets libev move a scheduler's clock.
#pragma once

#include <ev++.h>

#include "rig/scheduler.h"

namespace sassafrasdyke::rig {

/// The process's one loop.
class EventLoop {
 public:
  /// `scheduler` must outlive it.
  explicit EventLoop(Scheduler& scheduler) : scheduler(scheduler) {}

  /// Runs until `Stop`.
  void Run();
  void Stop();

 private:
  void CatchUp();
  void OnPrepare(ev::prepare& watcher, int events);
  void OnTimer(ev::timer& watcher, int events);

  Scheduler& scheduler;
  ev::tstamp began{0};
  ev::prepare prepare;
  ev::timer timer;
};

}  // namespace sassafrasdyke::rig

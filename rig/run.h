/// One run of a scenario: wires the stand-ins, plays the timeline, and makes
/// the report.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <ostream>
#include <string>

#include "rig/addresses.h"
#include "rig/callers.h"
#include "rig/deployment.h"
#include "rig/event_loop.h"
#include "rig/fabric.h"
#include "rig/fleet_watch.h"
#include "rig/flood.h"
#include "rig/instances.h"
#include "rig/judge.h"
#include "rig/naive_balancers.h"
#include "rig/platform.h"
#include "rig/report.h"
#include "rig/scenario.h"
#include "rig/scheduler.h"
#include "rig/timeline.h"

namespace sassafrasdyke::rig {

/// How to run a scenario.
struct RunOptions {
  std::uint64_t seed{1};
  std::filesystem::path folder;
  /// Naive balancers inside the rig in place of instances.
  bool naive{false};
  /// Instead of callers, a flood over this many flows to the first service by
  /// way of the first instance; 0 for none.
  std::size_t flood_flows{0};
};

/// The run. Throws std::runtime_error when an address can't be had.
class Run {
 public:
  Run(const Scenario& scenario, const RunOptions& options,
      std::ostream& actions);

  /// Runs to the end and returns what was found.
  Report Execute();

 private:
  void WaitUntilReady();
  void StartLoad();
  void EndLoad();
  void Finish();
  void OnLine(ev::io& watcher, int events);
  Report MakeReport() const;

  Scenario scenario;
  RunOptions options;
  AddressPlan plan;
  Scheduler scheduler;
  EventLoop loop;
  Judge judge;
  Platform platform;
  std::ofstream nowhere;  ///< Never opened; swallows what is written.
  std::unique_ptr<NaiveBalancers> naive;
  Fabric fabric;
  Callers callers;
  Instances instances;
  std::unique_ptr<Flood> flood;
  Deployment deployment;
  FleetWatch watch;
  Timeline timeline;
  std::ostream& actions;
  std::chrono::microseconds load_began{0};
  std::chrono::microseconds load_ended{0};
  std::uint64_t calls_at_start{0};
  ev::io lines;
  std::string partial_line;
};

}  // namespace sassafrasdyke::rig

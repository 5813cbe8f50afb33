/// One run of a scenario: wires the stand-ins, plays the timeline, and makes
/// the report.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "rig/addresses.h"
#include "rig/callers.h"
#include "rig/fabric.h"
#include "rig/flood.h"
#include "rig/instances.h"
#include "rig/judge.h"
#include "rig/metrics_probe.h"
#include "rig/platform.h"
#include "rig/report.h"
#include "rig/scenario.h"
#include "rig/scheduler.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {

/// How to run a scenario.
struct RunOptions {
  std::uint64_t seed{1};
  std::filesystem::path folder;
  /// No instance takes part; checks the stand-ins themselves.
  bool direct{false};
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
  /// A target with its health port.
  class Upstream final : public HttpHandler {
   public:
    Upstream(const TargetShape& shape, Scheduler& scheduler, Judge& judge,
             SegmentSink& sink)
        : target(shape, scheduler, judge, sink) {}
    void Listen(const common::Endpoint& health);
    HttpReply OnRequest(const HttpRequest& request,
                        std::chrono::milliseconds held) override;

    StandInTarget target;

   private:
    std::unique_ptr<HttpServer> server;
  };

  /// A configuration change on its way.
  struct Change {
    std::uint64_t revision{0};
    std::chrono::microseconds published_at{0};
  };

  void BuildConfiguration();
  void AddTarget(const std::string& service);
  void PublishConfiguration();
  void WaitUntilReady();
  void StartLoad();
  void EndLoad();
  void Finish();
  void PollMetrics();
  void OnMetrics(common::InstanceId id, std::optional<InstanceMetrics> metrics);
  void CheckChanges();
  void Play(const ScenarioStep& step);
  void PlayTargetStep(const ScenarioStep& step, StandInTarget& target);
  void PlayInstanceStep(const ScenarioStep& step);
  void PlayPlatformStep(const ScenarioStep& step);
  void SetConfiguration(const ScenarioStep& step);
  std::vector<common::DomainId> DomainsNamed(const std::string& name) const;
  void OnPrepare(ev::prepare& watcher, int events);
  void OnTimer(ev::timer& watcher, int events);
  void OnLine(ev::io& watcher, int events);
  void CatchUp();
  Report MakeReport() const;
  std::optional<double> ControlBytesPerSecond() const;

  Scenario scenario;
  RunOptions options;
  AddressPlan plan;
  Scheduler scheduler;
  Judge judge;
  Platform platform;
  Fabric fabric;
  Callers callers;
  Instances instances;
  MetricsProbe probe;
  std::ostream& actions;
  nlohmann::ordered_json configuration;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams;
  std::uint32_t next_target{1};
  std::unique_ptr<Flood> flood;
  std::vector<Change> changes;
  std::vector<double> configuration_seconds;
  std::map<common::InstanceId, InstanceMetrics> metrics;
  std::map<common::InstanceId, InstanceMetrics> metrics_at_start;
  std::chrono::microseconds load_began{0};
  std::chrono::microseconds load_ended{0};
  std::uint64_t calls_at_start{0};
  bool loading{false};
  ev::tstamp began{0};
  ev::prepare prepare;
  ev::timer timer;
  ev::io lines;
  std::string partial_line;
};

}  // namespace sassafrasdyke::rig

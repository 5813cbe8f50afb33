/// Reads the instances' metrics through a run: who is ready, when a change is
/// in force everywhere, and what control traffic costs.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "rig/addresses.h"
#include "rig/instances.h"
#include "rig/metrics_probe.h"
#include "rig/scheduler.h"

namespace sassafrasdyke::rig {

/// The watch of one run.
class FleetWatch {
 public:
  /// All references must outlive it.
  FleetWatch(const AddressPlan& plan, const Instances& instances,
             Scheduler& scheduler)
      : plan(plan), instances(instances), scheduler(scheduler) {}

  /// Reads for as long as the scheduler runs.
  void Start();
  /// Whether each instance that should answer has both documents.
  bool AllReady() const;
  /// The load begins: changes and costs count from now on.
  void BeginLoad();
  void OnPublished(std::uint64_t revision);

  /// Times until each change was in force everywhere, in seconds.
  const std::vector<double>& ChangeSeconds() const {
    return this->change_seconds;
  }
  /// Changes that weren't.
  std::size_t Unfinished() const { return this->changes.size(); }
  /// Mean over the instances that were there all the time.
  std::optional<double> ControlBytesPerSecond() const;
  std::chrono::milliseconds DataCpu() const;
  /// Writes what each instance said last, a file each.
  void Save(const std::filesystem::path& folder) const;

 private:
  /// A configuration on its way.
  struct Change {
    std::uint64_t revision{0};
    std::chrono::microseconds published_at{0};
  };

  void Poll();
  void CheckChanges();
  std::uint64_t OldestRevision() const;

  AddressPlan plan;
  const Instances& instances;
  Scheduler& scheduler;
  MetricsProbe probe;
  std::map<common::InstanceId, InstanceMetrics> latest;
  std::map<common::InstanceId, InstanceMetrics> at_begin;
  std::vector<Change> changes;
  std::vector<double> change_seconds;
  bool loading{false};
  std::chrono::microseconds began{0};
};

}  // namespace sassafrasdyke::rig

/// The entry instances of a run, as the platform and the fabric see them. Says
/// what shall be started and stopped; another program does it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "common/ids.h"
#include "rig/addresses.h"
#include "rig/control_relay.h"
#include "rig/fabric.h"
#include "rig/platform.h"
#include "rig/scenario.h"
#include "rig/scheduler.h"

namespace sassafrasdyke::rig {

/// What a process is doing, in truth.
enum class ProcessState {
  kRunning,
  kFrozen,   ///< Paused, with all it believes.
  kLeaving,  ///< Told to stop; may take its time.
  kEnded,
};

/// All instances of a run.
class Instances {
 public:
  /// All references must outlive it. Action lines go to `actions`, settings
  /// files into `folder`.
  Instances(const Scenario& scenario, const AddressPlan& plan,
            std::filesystem::path folder, std::ostream& actions,
            Scheduler& scheduler, Platform& platform, Fabric& fabric);

  /// Starts what the scenario lists and publishes it at once.
  void StartAll();
  /// Starts a new instance in the failure domain; returns its id.
  common::InstanceId StartNew(common::DomainId domain);
  /// Starts an ended instance again, as a later life at the same address.
  void Restart(common::InstanceId id);
  /// Starts a new instance in the same failure domain and tells the old one
  /// to stop.
  void Replace(common::InstanceId id);
  void Term(common::InstanceId id);
  void Kill(common::InstanceId id);
  void Freeze(common::InstanceId id);
  void Thaw(common::InstanceId id);
  /// A process has ended, for whatever reason.
  void OnExited(common::InstanceId id, int code);

  /// Ids of the processes that should answer now.
  std::vector<common::InstanceId> Answering() const;
  /// Processes that ended without being told, or badly.
  std::uint64_t Crashes() const { return this->crashes; }

 private:
  struct Place {
    common::DomainId domain;
    std::uint64_t incarnation{1};
    ProcessState state{ProcessState::kRunning};
    std::string published;  ///< "live", "leaving", or empty when not listed.
  };

  void Launch(common::InstanceId id);
  void PublishAs(common::InstanceId id, const std::string& state);
  void Publish();
  void BelieveLater(common::InstanceId id, bool alive);
  void Say(const std::string& verb, common::InstanceId id);
  void WriteSettings(common::InstanceId id, const std::filesystem::path& file);

  const Scenario& scenario;
  AddressPlan plan;
  std::filesystem::path folder;
  std::ostream& actions;
  Scheduler& scheduler;
  Platform& platform;
  Fabric& fabric;
  ControlRelay relay;
  std::map<common::InstanceId, Place> places;
  std::uint64_t crashes{0};
};

}  // namespace sassafrasdyke::rig

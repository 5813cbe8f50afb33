/// The newest state that the tasks have published for people to read.
#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "core/balancer.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/fleet_view.h"
#include "core/messages.h"

namespace sassafrasdyke::observe {

/// What the control task knows.
struct ControlState {
  /// Null before the first one.
  std::shared_ptr<const core::Configuration> configuration;
  core::FleetView view;
  core::FleetStatus status;
  /// Newest last.
  std::vector<core::DocumentRefused> refusals;
  std::vector<core::TargetHealthChange> health;
};

/// What the data task knows.
struct DataState {
  core::BalancerStatus status;
};

/// One reading of both.
struct StateReading {
  std::shared_ptr<const ControlState> control;
  std::shared_ptr<const DataState> data;
};

/// Hands whole states from the tasks that own them to whoever explains; no
/// state is ever changed after it was published.
class StateBoard {
 public:
  StateBoard();

  void Publish(ControlState state);
  void Publish(DataState state);
  StateReading Read() const;

 private:
  mutable std::mutex mutex;
  StateReading newest;
};

}  // namespace sassafrasdyke::observe

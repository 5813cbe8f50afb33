/// What decisions know from other instances, and who observes requests.
#pragma once

#include <vector>

#include "core/health/target_weights.h"
#include "core/load/fleet_load.h"
#include "core/load/request_observer.h"
#include "core/steering/locality_policy.h"

namespace sassafrasdyke::core {

/// Parts that the settings switch on. All must outlive FlowSteering.
struct SharedObservations {
  const FleetLoad& load;
  const TargetWeights& weights;
  const LocalityPolicy& locality;
  std::vector<RequestObserver*> observers;
  /// Whether limits begin with the instance's share of the domain, and SYNs
  /// that can't be served are refused.
  bool fair_admission{false};
};

/// No load reports, no observers, equal weights: each part is switched off.
const SharedObservations& NoSharedObservations();

}  // namespace sassafrasdyke::core

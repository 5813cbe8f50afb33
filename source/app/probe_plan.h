/// Chooses the targets whose health this instance reads.
#pragma once

#include <vector>

#include "clients/target_prober.h"
#include "core/configuration.h"
#include "core/fleet_view.h"

namespace sassafrasdyke::app {

/// Instances that probe each target, so that one lost prober is not missed.
inline constexpr std::size_t kProbersPerTarget = 3;

/// The targets for which this instance is among the first few in rendezvous
/// order of the instances in the target's failure domain. Each instance works
/// it out alone, and the load on a target doesn't grow with the fleet. Targets
/// without a health address are left out.
std::vector<clients::ProbedTarget> PlanProbes(
    const core::Configuration& configuration, const core::FleetView& view);

}  // namespace sassafrasdyke::app

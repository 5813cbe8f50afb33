/// The changes and faults under which balancers are compared and tested.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "core/model/callers.h"
#include "core/model/small_fleet.h"

namespace sassafrasdyke::core::testing {

/// The callers' actions in each tenth of a second.
struct Load {
  std::uint32_t opened{10};
  std::uint32_t closed_percent{60};  ///< Chance that an opening closes a flow.
  std::uint32_t sent{30};
};

/// One planned change or fault, with traffic before and after it.
struct Scenario {
  std::string_view name;
  /// Whether operators initiate it; no flow may break then.
  bool planned{true};
  std::uint32_t domains{1};
  std::function<void(SmallFleet&, Callers&, const Load&)> run;
};

/// All scenarios.
const std::vector<Scenario>& Scenarios();

/// Lets time pass while callers open, use and close flows of all services.
void Traffic(SmallFleet& fleet, Callers& callers, const Load& load,
             std::chrono::milliseconds time);

/// A fleet of the size that users run: 8 instances, and services with 14 and 4
/// targets.
SmallFleetPlan PlanOfToday(std::uint32_t domains, std::uint64_t seed);

}  // namespace sassafrasdyke::core::testing

/// The changes and faults under which balancers are compared and tested.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "core/model/callers.h"
#include "core/model/small_fleet.h"

namespace sassafrasdyke::core::testing {

/// How much the callers do in each tenth of a second.
struct Load {
  std::uint32_t opened{10};
  std::uint32_t closed_percent{60};  ///< Of those opened, how many others end.
  std::uint32_t spoken{30};
};

/// One change or fault, from the first caller to the last.
struct Scenario {
  std::string_view name;
  /// Whether operators asked for it; no flow may break then.
  bool planned{true};
  std::uint32_t domains{1};
  std::function<void(SmallFleet&, Callers&, const Load&)> run;
};

/// All of them.
const std::vector<Scenario>& Scenarios();

/// Lets time pass while callers open, use and close flows of all services.
void Traffic(SmallFleet& fleet, Callers& callers, const Load& load,
             std::chrono::milliseconds time);

/// A fleet like the users' of today: 8 instances, services of 14 and 4 targets.
SmallFleetPlan PlanOfToday(std::uint32_t domains, std::uint64_t seed);

}  // namespace sassafrasdyke::core::testing

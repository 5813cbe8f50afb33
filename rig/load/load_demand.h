/// What the callers of a load scenario request, and when. It depends on the
/// scenario alone, so that each policy meets the same requests.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {

/// One request.
struct LoadArrival {
  std::size_t domain{0};  ///< Whose instances get it.
  std::chrono::microseconds at{0};
  std::chrono::microseconds work{0};
  std::uint32_t caller{0};  ///< Unique within the scenario.
  bool heavy{false};        ///< The caller is one of the heavy ones.
  bool keeps_flow{false};  ///< Uses an idle flow of its caller if there is one.
};

/// The requests of all domains, those of the first domain first.
std::vector<LoadArrival> DrawArrivals(const LoadScenario& scenario);

}  // namespace sassafrasdyke::rig

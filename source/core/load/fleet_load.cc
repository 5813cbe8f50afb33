#include "core/load/fleet_load.h"

#include <algorithm>

namespace sassafrasdyke::core {

bool IsReachable(const std::vector<DomainLoad>& loads,
                 const std::string& domain) {
  const auto found = std::ranges::find(loads, domain, &DomainLoad::domain);
  return found == loads.end() || found->reachable;
}

}  // namespace sassafrasdyke::core

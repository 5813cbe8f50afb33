#include "core/view/region_map.h"

#include <algorithm>

namespace sassafrasdyke::core {

bool RegionMap::Allows(const Route& route, std::string_view domain) const {
  if (route.allowed_regions.empty()) {
    return true;
  }
  const auto region = this->regions.find(domain);
  return region != this->regions.end() &&
         std::ranges::find(route.allowed_regions, region->second) !=
             route.allowed_regions.end();
}

}  // namespace sassafrasdyke::core

/// The regions of the failure domains, as the settings name them.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// Decides which failure domains a route may use.
class RegionMap {
 public:
  using RegionByDomain = std::map<std::string, std::string, std::less<>>;

  RegionMap() = default;
  explicit RegionMap(RegionByDomain regions) : regions(std::move(regions)) {}

  /// Whether flows of the route may go to targets of `domain`. A route that
  /// allows certain regions only may not use a domain of unknown region.
  bool Allows(const Route& route, std::string_view domain) const;
  bool Knows(std::string_view domain) const {
    return this->regions.contains(domain);
  }
  const RegionByDomain& Domains() const { return this->regions; }

 private:
  RegionByDomain regions;
};

}  // namespace sassafrasdyke::core

/// A FleetLoad whose values a test sets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/load/fleet_load.h"

namespace sassafrasdyke::core {

struct FixedFleetLoad final : public FleetLoad {
  const std::vector<DomainLoad>& Of(const std::string& service) const override {
    static const std::vector<DomainLoad> none;
    const auto found = this->loads.find(service);
    return found == this->loads.end() ? none : found->second;
  }
  std::optional<std::size_t> DomainInstances() const override {
    return this->instances;
  }

  std::map<std::string, std::vector<DomainLoad>> loads;
  std::optional<std::size_t> instances;
};

}  // namespace sassafrasdyke::core

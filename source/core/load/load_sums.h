/// The load of each service at the targets of each failure domain, summed over
/// the callers of all domains.
#pragma once

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/load/domain_contacts.h"
#include "core/load/fleet_load.h"
#include "core/load/load_report.h"

namespace sassafrasdyke::core {

/// Computed anew at each tick.
class LoadSums {
 public:
  /// Sums the reports, one of each domain.
  void Compute(const std::vector<DomainReport>& reports,
               const std::string& own_domain, const DomainContacts& contacts,
               std::chrono::milliseconds now);
  /// Makes the load of each service unknown; the totals stay.
  void Forget();

  /// Empty while unknown; without load for a service without requests.
  const std::vector<DomainLoad>& Of(const std::string& service) const;
  /// Load of all services.
  const std::vector<DomainLoad>& Totals() const { return this->totals; }

 private:
  void Add(const DomainReport& report);

  std::unordered_map<ServiceKey, std::vector<DomainLoad>> loads;
  std::vector<DomainLoad> unloaded;  ///< For services without requests.
  std::vector<DomainLoad> totals;
};

}  // namespace sassafrasdyke::core

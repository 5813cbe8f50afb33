/// The slots that the callers of a failure domain need.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/load/fleet_load.h"

namespace sassafrasdyke::core {

/// Mean number of slots that requests of the domain's callers occupy, wherever
/// they are placed; nothing while no report of the domain is known. `slots`:
/// those of the domain's targets. Requests in queues don't count: at a full
/// domain these would multiply the demand, which then would seem too large for
/// the capacity of the others.
///
/// The time that a request occupies a slot is taken from the domain's targets
/// while these are below their slots; of full ones only a minimum is known,
/// unless the targets of another domain show a longer time.
std::optional<double> DemandOf(const std::string& domain, double slots,
                               const std::vector<DomainLoad>& loads);

}  // namespace sassafrasdyke::core

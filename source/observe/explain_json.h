/// Tells as JSON what an instance believes and why; read-only.
#pragma once

#include <string>

#include "observe/log_event.h"
#include "observe/state_board.h"

namespace sassafrasdyke::observe {

/// Revision, lease, members, targets, exceptions with their reasons, budgets
/// and the last refusals of one reading.
std::string ExplainState(const LogIdentity& identity,
                         const StateReading& state);

}  // namespace sassafrasdyke::observe

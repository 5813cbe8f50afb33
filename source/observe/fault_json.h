/// The faults of a refused document as JSON.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

#include "core/fleet/fleet.h"

namespace sassafrasdyke::observe {

/// Faults of one refusal that are named; the others are counted.
inline constexpr std::size_t kNamedFaults = 10;

/// Adds `faults`, the first ones by name, and `faults_not_named`, how many
/// more there are, to `json`.
void WriteFaults(const core::DocumentRefused& refused,
                 nlohmann::ordered_json& json);

}  // namespace sassafrasdyke::observe

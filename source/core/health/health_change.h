/// Changes of targets' health, for the log.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/health/outlier_rules.h"
#include "core/health/target_weights.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Kinds of changes of a target's health.
enum class HealthEvent : std::uint8_t {
  kEjected,  ///< Gets no new flows.
  kSlow,     ///< Gets fewer of them.
  kBack,     ///< Gets its share again.
};

/// Name of the event in the log.
std::string_view Word(HealthEvent event);

/// A change of a target's health.
struct HealthChange {
  TargetIndex target;
  HealthEvent event{HealthEvent::kEjected};
  /// The state that begins, or that has ended.
  OutlierState why{OutlierState::kHealthy};
  OutlierEvaluation evidence;
};

/// In the order of their occurrence.
using HealthChanges = std::vector<HealthChange>;

}  // namespace sassafrasdyke::core

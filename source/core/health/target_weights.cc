#include "core/health/target_weights.h"

namespace sassafrasdyke::core {

std::string_view Word(OutlierState state) {
  switch (state) {
    case OutlierState::kHealthy:
      return "healthy";
    case OutlierState::kSlow:
      return "slow";
    case OutlierState::kFailing:
      return "failing";
    case OutlierState::kSilent:
      return "silent";
    case OutlierState::kReturning:
      return "returning";
  }
  return "unknown";
}

}  // namespace sassafrasdyke::core

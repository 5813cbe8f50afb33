#include "core/health/health_change.h"

namespace sassafrasdyke::core {

std::string_view Word(HealthEvent event) {
  switch (event) {
    case HealthEvent::kEjected:
      return "target-ejected";
    case HealthEvent::kSlow:
      return "target-slow";
    case HealthEvent::kBack:
      return "target-back";
  }
  return "unknown";
}

}  // namespace sassafrasdyke::core

#include "core/steering/flow_packet.h"

namespace sassafrasdyke::core {

std::string_view Word(SteeringReason reason) {
  switch (reason) {
    case SteeringReason::kCarried:
      return "carried";
    case SteeringReason::kLocal:
      return "local";
    case SteeringReason::kSpilled:
      return "spilled";
    case SteeringReason::kRelieved:
      return "relieved";
    case SteeringReason::kShared:
      return "shared";
    case SteeringReason::kEvacuated:
      return "evacuated";
    case SteeringReason::kSuspected:
      return "suspected-only";
    case SteeringReason::kRepeated:
      return "repeated";
    case SteeringReason::kRetried:
      return "retried-elsewhere";
  }
  return "unknown";
}

std::string_view Word(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return "no-route";
    case RefusalReason::kNoTarget:
      return "no-target";
    case RefusalReason::kEvacuated:
      return "evacuated";
    case RefusalReason::kTargetGone:
      return "target-gone";
    case RefusalReason::kTargetSilent:
      return "target-silent";
    case RefusalReason::kOverloaded:
      return "overloaded";
  }
  return "unknown";
}

std::string_view Word(SilentDropReason reason) {
  switch (reason) {
    case SilentDropReason::kMalformed:
      return "malformed";
    case SilentDropReason::kNotFromClient:
      return "not-a-clients";
    case SilentDropReason::kNoView:
      return "no-view";
    case SilentDropReason::kStaleView:
      return "stale-view";
    case SilentDropReason::kUnknownTarget:
      return "unknown-target";
    case SilentDropReason::kOutdated:
      return "outdated";
    case SilentDropReason::kTargetsCold:
      return "targets-cold";
    case SilentDropReason::kOtherService:
      return "other-service";
  }
  return "unknown";
}

}  // namespace sassafrasdyke::core

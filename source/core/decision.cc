#include "core/decision.h"

namespace sassafrasdyke::core {

std::string_view Word(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kDefault:
      return "default";
    case PlacementReason::kLessLoaded:
      return "less-loaded";
    case PlacementReason::kRamp:
      return "ramp";
    case PlacementReason::kEjected:
      return "ejected";
    case PlacementReason::kDraining:
      return "draining";
    case PlacementReason::kSpill:
      return "spill";
    case PlacementReason::kRecord:
      return "record";
    case PlacementReason::kCopy:
      return "copy";
    case PlacementReason::kFallback:
      return "fallback";
    case PlacementReason::kAskedPrevious:
      return "asked-previous";
    case PlacementReason::kAdopted:
      return "adopted";
    case PlacementReason::kReplaced:
      return "replaced";
  }
  return "unknown";
}

std::string_view Word(DropReason reason) {
  switch (reason) {
    case DropReason::kUnknownService:
      return "unknown-service";
    case DropReason::kHopLimit:
      return "hop-limit";
    case DropReason::kTableFull:
      return "table-full";
    case DropReason::kNoTarget:
      return "no-target";
    case DropReason::kUnreachable:
      return "unreachable";
    case DropReason::kStale:
      return "stale";
    case DropReason::kClosed:
      return "closed";
  }
  return "unknown";
}

std::string_view Word(ResetReason reason) {
  switch (reason) {
    case ResetReason::kNotRun:
      return "not-run";
    case ResetReason::kTargetGone:
      return "target-gone";
    case ResetReason::kSilentPath:
      return "silent-path";
  }
  return "unknown";
}

std::string_view Word(PartitionEvent event) {
  switch (event) {
    case PartitionEvent::kTaken:
      return "taken";
    case PartitionEvent::kGivenUp:
      return "given-up";
    case PartitionEvent::kFallbackChanged:
      return "fallback-changed";
    case PartitionEvent::kHandedOver:
      return "handed-over";
  }
  return "unknown";
}

}  // namespace sassafrasdyke::core

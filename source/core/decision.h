/// The entries of the decision log: one value per line.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "common/flow_key.h"
#include "common/ids.h"
#include "core/messages.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// A new flow was placed, or placed anew.
struct FlowPlaced {
  common::TargetId target;
  PlacementReason reason{PlacementReason::kDefault};
};

/// A flow was refused or ended by this instance.
struct FlowReset {
  ResetReason reason{ResetReason::kNotRun};
};

/// A new flow could not be placed and was dropped.
struct FlowDropped {
  DropReason reason{DropReason::kNoTarget};
};

/// An established flow without a record on this instance was assigned a target.
struct FlowRecovered {
  common::TargetId target;
  PlacementReason reason{PlacementReason::kFallback};
};

/// A decision about one flow. Instances log it with their id, their failure
/// domain and the configuration's revision. `flow` and `fingerprint` are the
/// same on every instance, so a flow can be traced across the fleet by either.
struct FlowDecision {
  common::FlowKey flow;
  common::Fingerprint fingerprint;
  PartitionKey partition;
  std::variant<FlowPlaced, FlowReset, FlowDropped, FlowRecovered> what;
};

/// A partition's ownership or fallback changed on this instance.
enum class PartitionEvent : std::uint8_t {
  kTaken,            ///< This instance became the owner.
  kGivenUp,          ///< Another instance became the owner.
  kFallbackChanged,  ///< Flows without a record now go to another target.
  kHandedOver,       ///< Every exception has reached the heir.
};

/// A decision about one partition.
struct PartitionDecision {
  PartitionKey partition;
  PartitionEvent event{PartitionEvent::kTaken};
  /// The new owner (heir) or the previous one; 0 when there is none.
  common::InstanceId other;
};

/// One line of the decision log.
using Decision = std::variant<FlowDecision, PartitionDecision>;

/// The value's name in the log. The names are stable and documented in
/// OPERATIONS-BALANCE.md.
std::string_view Word(PlacementReason reason);
std::string_view Word(DropReason reason);
std::string_view Word(ResetReason reason);
std::string_view Word(PartitionEvent event);

}  // namespace sassafrasdyke::core

/// The decisions that are logged: one value for each line.
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

/// A new flow was placed, or placed again.
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

/// An established flow without a record was sent somewhere.
struct FlowRecovered {
  common::TargetId target;
  PlacementReason reason{PlacementReason::kFallback};
};

/// A decision about one flow. Instances log it with their id, their failure
/// domain and the configuration's revision; `flow` and `fingerprint` are the
/// same on every instance, so one id follows a flow over the fleet.
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
  kFallbackChanged,  ///< The other target now counts as the default.
  kHandedOver,       ///< Every exception is with the heir.
};

/// A decision about one partition.
struct PartitionDecision {
  PartitionKey partition;
  PartitionEvent event{PartitionEvent::kTaken};
  /// The other instance concerned: heir or predecessor; 0 when there is none.
  common::InstanceId other;
};

/// One line of the decision log.
using Decision = std::variant<FlowDecision, PartitionDecision>;

/// The log's word for a value; stable, documented in OPERATIONS-BALANCE.md.
std::string_view Word(PlacementReason reason);
std::string_view Word(DropReason reason);
std::string_view Word(ResetReason reason);
std::string_view Word(PartitionEvent event);

}  // namespace sassafrasdyke::core

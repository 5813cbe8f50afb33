/// The state that an instance keeps of one partition.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/flow/recent_owners.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// The number of known flows of one partition at one target.
struct TargetCount {
  TargetSlot slot;
  std::uint32_t flows{0};
};

/// A former owner's statement that it tracked every SYN of a partition.
struct OpeningsClaim {
  common::InstanceId from;
  std::chrono::milliseconds since{0};  ///< By this instance's monotonic clock.
};

/// One partition as this instance sees it.
struct PartitionState {
  /// This instance is the owner.
  bool owned{false};
  /// The owner in the last view and its incarnation; 0 before the first view.
  common::InstanceId seen_owner;
  common::Incarnation seen_incarnation;
  /// Earlier owners.
  RecentOwners recent_owners;
  /// This instance was the owner and its flow records are still live: they are
  /// being handed over, or are kept until the new owner has copied them back.
  bool keeps_records{false};
  /// The instance to which this one gave the partition up; 0 once it owns the
  /// partition again.
  common::InstanceId given_up_to;
  /// The new owner has acknowledged the end of the hand-over.
  bool handed_over{false};
  /// This instance has placed flows on behalf of the owner that the owner
  /// hasn't acknowledged.
  bool placed_for_owner{false};
  /// The ownership epoch; records of an earlier one are void.
  std::uint16_t epoch{0};
  std::chrono::milliseconds owned_since{0};
  /// The owner before this instance, in this instance's view when it took the
  /// partition over.
  common::InstanceId predecessor;
  /// The predecessor's hand-over is complete, and no flow of it was left
  /// without a record for lack of room.
  bool predecessor_done{false};
  /// The statement of a former owner, if one was received.
  std::optional<OpeningsClaim> claim;
  /// Since when this instance had tracked every SYN when it gave the partition
  /// up; empty once another than the current owner may have placed flows.
  std::optional<std::chrono::milliseconds> openings_known_since;
  /// The instance to ask about unknown flows until `ask_until`; 0 for none.
  common::InstanceId previous;
  std::chrono::milliseconds ask_until{0};
  /// Until then another instance may still consider itself the owner.
  std::chrono::milliseconds contested_until{0};
  /// Until then unknown flows aren't sent to the fallback: this instance took
  /// the partition back, and the owner in between may still have flows to hand
  /// over.
  std::chrono::milliseconds no_fallback_until{0};
  /// When this instance last told an owner that it has no flows; -1 for never.
  std::chrono::milliseconds negative_answer_at{-1};
  /// Where established flows without a record are presumed to be.
  TargetSlot fallback{kNoSlot};
  /// The fallback is derived from the configuration alone; one received from an
  /// earlier owner replaces it.
  bool fallback_provisional{true};
  /// The id of a received fallback that this instance's configuration doesn't
  /// contain, since the sender's is newer; 0 for none.
  common::TargetId unresolved_fallback;
  /// The number of known flows by target.
  std::vector<TargetCount> counts;

  /// Whether this instance, as the former owner, still decides about the flows
  /// that it has records of.
  bool IsHandingOver() const {
    return this->keeps_records && !this->handed_over;
  }
  /// Whether there are flows here that the owner may not know: they are being
  /// handed over or were placed on its behalf.
  bool HoldsUnconfirmedFlows() const {
    return this->IsHandingOver() || this->placed_for_owner;
  }

  /// Since when this instance, or the one that handed over to it, has tracked
  /// every SYN of the partition.
  std::chrono::milliseconds OpeningsKnownSince() const;

  /// Voids all records of the partition.
  void VoidRecords();

  /// Adds `change` to the number of flows at a target.
  void Count(TargetSlot slot, int change);
  std::uint32_t FlowsAt(TargetSlot slot) const;
  /// The number of known flows that aren't at the fallback.
  std::size_t Exceptions() const;
};

}  // namespace sassafrasdyke::core

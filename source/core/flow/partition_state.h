/// The state that an instance keeps of one partition.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
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
  /// This instance is the owner: it alone places flows. Another becomes the
  /// owner when this one grants it the ownership, whatever the views say.
  bool owned{false};
  /// The owner that the last view designates, its incarnation, and since when;
  /// 0 before the first view.
  common::InstanceId designated;
  common::Incarnation designated_incarnation;
  std::chrono::milliseconds designated_since{0};
  /// Instances that may have been the owner, as earlier views and answers tell,
  /// the newest first; a few at most.
  std::vector<common::InstanceId> likely_owners;
  /// This instance is the owner, and grants the ownership to the designated
  /// owner as soon as it has received everything from its predecessor.
  bool yields{false};
  /// This instance was the owner and its flow records are still live: they are
  /// being handed over, or are kept until the new owner has copied them back.
  bool keeps_records{false};
  /// The instance to which this one granted the ownership, its incarnation, and
  /// when; 0 while this instance is the owner and if it never was.
  common::InstanceId given_up_to;
  common::Incarnation given_up_incarnation;
  std::chrono::milliseconds given_up_at{0};
  /// The new owner has acknowledged the end of the hand-over.
  bool handed_over{false};
  /// The ownership epoch; records of an earlier one are void.
  std::uint16_t epoch{0};
  std::chrono::milliseconds owned_since{0};
  /// The owner before this instance: the one that granted the ownership or, if
  /// there was no owner, the one in this instance's view.
  common::InstanceId predecessor;
  /// A packet carried the grant of the ownership; the message, which says more,
  /// hasn't arrived.
  bool awaits_grant{false};
  /// `previous` granted the ownership; otherwise it only may know flows.
  bool learns_by_grant{false};
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

  /// Since when this instance, or the one that handed over to it, has tracked
  /// every SYN of the partition.
  std::chrono::milliseconds OpeningsKnownSince() const;

  /// Voids all records of the partition.
  void VoidRecords();

  /// Adds to `likely_owners`, unless `id` is 0.
  void AddLikelyOwner(common::InstanceId id);

  /// Adds `change` to the number of flows at a target.
  void Count(TargetSlot slot, int change);
  std::uint32_t FlowsAt(TargetSlot slot) const;
  /// The number of known flows that aren't at the fallback.
  std::size_t Exceptions() const;
};

}  // namespace sassafrasdyke::core

/// What an instance remembers of one partition.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/flow/owner_trail.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// The known flows of one partition at one target.
struct TargetCount {
  TargetSlot slot;
  std::uint32_t flows{0};
};

/// A former owner's word that it knew of every SYN of a partition.
struct OpeningsClaim {
  common::InstanceId from;
  std::chrono::milliseconds since{0};  ///< By this instance's clock.
};

/// One partition as this instance sees it.
struct PartitionState {
  /// This instance is the owner.
  bool owned{false};
  /// The owner as last seen, and which life of it; 0 before the first view.
  common::InstanceId seen_owner;
  common::Incarnation seen_incarnation;
  /// The owners before that one.
  OwnerTrail trail;
  /// This instance was the owner and its flow records still count: they are
  /// being handed over, or wait until the new owner has copied them back.
  bool remembers{false};
  /// To whom this instance gave the partition up; 0 once it owns it again.
  common::InstanceId given_up_to;
  /// The new owner has confirmed that it knows everything.
  bool handed_over{false};
  /// It has placed flows in the owner's stead that the owner hasn't confirmed.
  bool stood_in{false};
  /// Records of an earlier tenure are void.
  std::uint16_t tenure{0};
  std::chrono::milliseconds owned_since{0};
  /// The owner before this instance, in its own view when it took the
  /// partition.
  common::InstanceId predecessor;
  /// The predecessor's hand-over has ended, and every flow of it has a record.
  bool told{false};
  /// What a former owner says of the SYNs that it knows.
  std::optional<OpeningsClaim> claim;
  /// Since when this instance knew of every SYN, when it gave the partition up;
  /// nothing once that may be with another owner than the present one.
  std::optional<std::chrono::milliseconds> openings_known_since;
  /// The instance to ask about unknown flows, until `ask_until`; 0 for none.
  common::InstanceId previous;
  std::chrono::milliseconds ask_until{0};
  /// Until then another instance may still believe that it is the owner.
  std::chrono::milliseconds contested_until{0};
  /// Until then nothing is guessed about unknown flows: this instance took the
  /// partition back, and whoever decided in between may still have to tell.
  std::chrono::milliseconds unsure_until{0};
  /// When this instance last told an owner that it has nothing.
  std::chrono::milliseconds denied_at{-1};
  /// Where established flows without a record are presumed to be.
  TargetSlot fallback{kNoSlot};
  /// The fallback is only what the configuration suggests; the word of an
  /// instance that knows better replaces it.
  bool fallback_guessed{true};
  /// The fallback's published number while it can't be resolved: the sender's
  /// configuration is newer. 0 when there is none.
  common::TargetId unresolved;
  /// Known flows by target.
  std::vector<TargetCount> counts;

  /// The former owner decides about the flows it has records of.
  bool IsHandingOver() const { return this->remembers && !this->handed_over; }
  /// There are flows here that the owner may not know of: of a tenure that is
  /// being handed over, or placed in the owner's stead.
  bool KnowsFlows() const { return this->IsHandingOver() || this->stood_in; }

  /// Since when this instance, or the one that handed over to it, has known of
  /// every SYN of the partition.
  std::chrono::milliseconds OpeningsKnownSince() const;

  /// Voids all records of the partition.
  void Forget();

  void Count(TargetSlot slot, int change);
  std::uint32_t FlowsAt(TargetSlot slot) const;
  std::size_t Exceptions() const;
};

}  // namespace sassafrasdyke::core

/// The record that an instance keeps of one flow.
#pragma once

#include <chrono>
#include <cstdint>

#include "common/ids.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// The state of a flow, as seen from its caller's packets alone.
enum class FlowState : std::uint8_t {
  kSyn,          ///< Only SYNs were seen.
  kEstablished,  ///< The caller has acknowledged its target's SYN-ACK.
  kClosing,      ///< The caller has sent FIN or RST.
};

/// Time in tenths of a second since process start; 32 bits last 13 years.
struct Tick {
  std::uint32_t value{0};

  static Tick From(std::chrono::milliseconds time) {
    return Tick{static_cast<std::uint32_t>(time.count() / kMilliseconds)};
  }
  std::chrono::milliseconds Time() const {
    return std::chrono::milliseconds{std::int64_t{this->value} * kMilliseconds};
  }

  static constexpr std::int64_t kMilliseconds = 100;
};

/// The record of one flow. Kept small: an instance holds hundreds of thousands.
struct FlowRecord {
  common::ServiceId service;
  TargetSlot target;
  Tick last_seen;
  /// Second for which the expiry wheel has scheduled the next check; other
  /// wheel entries of the same flow are stale and ignored.
  std::uint32_t due{0};
  /// Sequence number of the caller's last segment.
  std::uint32_t sequence{0};
  /// When `sequence` was first seen.
  Tick sequence_since;
  /// The partition's ownership epoch; a record of an earlier one is void.
  std::uint16_t epoch{0};
  /// Time before the last retransmission of `sequence`, in ticks.
  std::uint16_t repeat_gap{0};
  /// Retransmissions of `sequence`, each after a longer gap than the last.
  std::uint8_t repeats{0};
  FlowState state{FlowState::kSyn};
  /// Payload of the flow may have reached its target, so it must not be placed
  /// again.
  bool payload_forwarded : 1 {false};
  /// The flow was queued for copying to the standby or a new owner.
  bool copied : 1 {false};
  /// Created from another instance's copy, which names targets by id. The id
  /// may have denoted another target in that instance's configuration.
  bool from_copy : 1 {false};
  /// The flow's unanswered SYN was counted against its target.
  bool counted_unanswered : 1 {false};
};

}  // namespace sassafrasdyke::core

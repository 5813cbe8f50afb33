/// What an instance remembers of one flow.
#pragma once

#include <chrono>
#include <cstdint>

#include "common/ids.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// How far a flow has come, as its caller's packets tell.
enum class FlowState : std::uint8_t {
  kSyn,          ///< Only SYNs were seen.
  kEstablished,  ///< The caller has answered its target.
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

/// One flow. Kept small: an instance holds hundreds of thousands.
struct FlowRecord {
  common::ServiceId service;
  TargetSlot target;
  Tick last_seen;
  /// Second at which the expiry wheel looks at it; older wheel entries of the
  /// same flow are void.
  std::uint32_t due{0};
  /// Sequence number of the caller's last segment.
  std::uint32_t sequence{0};
  /// When `sequence` was first seen.
  Tick sequence_since;
  /// Counts ownerships of the partition; a record of an earlier one is void.
  std::uint16_t tenure{0};
  /// Gap before the last repeat of `sequence`, in ticks.
  std::uint16_t repeat_gap{0};
  std::uint8_t repeats{0};
  FlowState state{FlowState::kSyn};
  /// Any payload of the flow was forwarded: it can never be placed again.
  bool payload_forwarded : 1 {false};
  /// The standby was told of it.
  bool copied : 1 {false};
  /// Known from another instance's word, which names targets by number: the
  /// number may have meant another life of the target there.
  bool from_copy : 1 {false};
  /// Its unanswered SYN was counted against its target.
  bool counted_unanswered : 1 {false};
};

}  // namespace sassafrasdyke::core

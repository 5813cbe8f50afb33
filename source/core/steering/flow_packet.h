/// A client's packet as FlowSteering sees it, and the possible decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "common/address.h"
#include "common/flow_key.h"
#include "core/packet.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// One packet of a flow. Packets of established flows carry the word that
/// identifies their target.
struct FlowPacket {
  common::FlowKey flow;
  TcpFlags flags;
  /// Identifies the flow's target; 0 before a target has answered.
  TargetWord word;
  std::uint32_t payload_bytes{0};
  /// Of a SYN: how many times the client has sent it before.
  std::uint32_t repeats{0};
  std::uint32_t acknowledgement{0};
  std::uint32_t sequence{0};  ///< Of the first byte of payload.
};

/// Why a packet is sent to its target.
enum class SteeringReason : std::uint8_t {
  kCarried,    ///< Established: its word identifies the target.
  kLocal,      ///< New: a target of the own failure domain.
  kSpilled,    ///< New: no usable target in the own failure domain.
  kRelieved,   ///< New: the own failure domain is at its limit.
  kShared,     ///< New: the own failure domain has more load than its share.
  kEvacuated,  ///< New: the own failure domain is evacuated.
  kSuspected,  ///< New: all targets are suspected; the likeliest to be back.
  kRepeated,   ///< A retransmitted SYN, to the same target again.
  kRetried,    ///< A retransmitted SYN, to another target than the first.
};

/// Why a client is sent a reset.
enum class RefusalReason : std::uint8_t {
  kNoRoute,       ///< Nothing is published at this address.
  kNoTarget,      ///< No target of the route's services takes new flows.
  kEvacuated,     ///< All that would are in evacuated failure domains.
  kTargetGone,    ///< The flow's target has ended.
  kTargetSilent,  ///< Probes have confirmed that the target doesn't answer.
  kOverloaded,    ///< No target can serve the SYN before its client gives up.
};

/// Why a packet is dropped without a reset.
enum class SilentDropReason : std::uint8_t {
  kMalformed,      ///< Not a valid packet of a client.
  kNotFromClient,  ///< Carries flags that only targets send.
  kNoView,         ///< The instance has no view yet.
  kStaleView,      ///< The view may lack the route; the client retransmits.
  kUnknownTarget,  ///< The view may lack the target; the client retransmits.
  kOutdated,       ///< A SYN from before the process was paused.
  kTargetsCold,    ///< All targets warm up and have enough new flows for now.
  kOtherService,   ///< The word is of a target that the route never used.
};

/// Send the packet to `target`.
struct SendToTarget {
  TargetIndex target;
  SteeringReason reason{SteeringReason::kCarried};
};

/// Send the client a reset.
struct Refuse {
  RefusalReason reason{RefusalReason::kNoRoute};
  /// The flow's target, if it is known.
  std::optional<TargetIndex> target = std::nullopt;
};

/// Drop the packet.
struct SilentDrop {
  SilentDropReason reason{SilentDropReason::kMalformed};
};

/// Queue the SYN until a target has capacity.
struct HoldBack {};

using SteeringAction = std::variant<SendToTarget, Refuse, SilentDrop, HoldBack>;

/// Name of the reason in logs and metrics.
std::string_view Word(SteeringReason reason);
std::string_view Word(RefusalReason reason);
std::string_view Word(SilentDropReason reason);

}  // namespace sassafrasdyke::core

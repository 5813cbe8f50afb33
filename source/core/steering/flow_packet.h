/// A client's packet as the steering sees it, and what may be done with it.
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

/// One packet of a flow that carries the word of its target.
struct FlowPacket {
  common::FlowKey flow;
  TcpFlags flags;
  /// The word that the flow carries; 0 before a target has answered.
  TargetWord word;
  std::uint32_t payload_bytes{0};
  /// Of a SYN: how many times the client has sent it before.
  std::uint32_t repeats{0};
  std::uint32_t acknowledgement{0};
  std::uint32_t sequence{0};  ///< Of the first byte of payload.
};

/// Why a new flow went where it went.
enum class SteeringReason : std::uint8_t {
  kCarried,    ///< Established: its word names the target.
  kLocal,      ///< New: a target of the own failure domain.
  kSpilled,    ///< New: no usable target in the own failure domain.
  kRelieved,   ///< New: the own failure domain has enough to do for now.
  kSuspected,  ///< New: every usable target swallows SYNs; the likeliest one.
  kRepeated,   ///< A repeated SYN, to the same target again.
  kRetried,    ///< A repeated SYN that the first target left unanswered.
};

/// Why a client is sent a reset.
enum class RefusalReason : std::uint8_t {
  kNoRoute,       ///< Nothing is published at this address.
  kNoTarget,      ///< No target of the route's services takes new flows.
  kTargetGone,    ///< The flow's target has ended.
  kTargetSilent,  ///< The flow's target answers nothing and nobody.
};

/// Why a packet is dropped without a word.
enum class SilenceReason : std::uint8_t {
  kMalformed,      ///< No packet of a client.
  kNotAClients,    ///< Carries flags that only targets send.
  kNoView,         ///< Nothing is known yet.
  kStaleView,      ///< The view may lack the route; the client will repeat.
  kUnknownTarget,  ///< The view may lack the target; the client will repeat.
  kOutdated,       ///< A SYN from before the process stood still.
  kOtherService,   ///< The word names a target that the route never used.
};

/// Send the packet to `target`, carrying `word`.
struct SendToTarget {
  TargetIndex target;
  SteeringReason reason{SteeringReason::kCarried};
};

/// Send the client a reset.
struct Refuse {
  RefusalReason reason{RefusalReason::kNoRoute};
  /// The target at which the flow was, if it was at a known one.
  std::optional<TargetIndex> target = std::nullopt;
};

/// Drop the packet.
struct StaySilent {
  SilenceReason reason{SilenceReason::kMalformed};
};

/// Keep the SYN until a target has room.
struct HoldBack {};

using SteeringAction = std::variant<SendToTarget, Refuse, StaySilent, HoldBack>;

/// The log's word for a reason.
std::string_view Word(SteeringReason reason);
std::string_view Word(RefusalReason reason);
std::string_view Word(SilenceReason reason);

}  // namespace sassafrasdyke::core

/// What a packet asks of the balancer, and what the balancer answers.
#pragma once

#include <cstdint>
#include <variant>

#include "common/address.h"
#include "common/flow_key.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// The TCP flags that decisions depend on.
struct TcpFlags {
  bool syn{false};
  bool ack{false};
  bool fin{false};
  bool rst{false};
};

/// Why one instance handed a packet to another.
enum class HopPurpose : std::uint8_t {
  kToOwner = 0,      ///< The sender believes that the receiver owns the flow.
  kAskPrevious = 1,  ///< A new owner asks whoever may have decided before it
                     ///< about a flow that it doesn't know.
};

/// How a packet reached this instance.
struct Arrival {
  /// 0 from the fabric, else the number of instances it has passed through.
  std::uint8_t hops{0};
  /// The instance that sent it; only meaningful when `hops` > 0.
  common::InstanceId from;
  HopPurpose purpose{HopPurpose::kToOwner};
  /// The new owner that has asked others about the packet, 0 for none. It gets
  /// the packet back when nobody knows the flow, and then decides itself.
  common::InstanceId asker{};
};

/// A caller's TCP segment.
struct PacketArrived {
  common::FlowKey flow;
  TcpFlags flags;
  std::uint32_t sequence{0};
  std::uint32_t acknowledgement{0};
  std::uint32_t payload_bytes{0};
  Arrival arrival;
};

/// Why a packet is not forwarded.
enum class DropReason : std::uint8_t {
  kUnknownService,  ///< No service has this address and port.
  kHopLimit,        ///< Passed through too many instances.
  kTableFull,       ///< No room for the record of a new flow.
  kNoTarget,        ///< No target of the service can take it.
  kUnreachable,     ///< The flow's target can't be reached from here now.
  kStale,           ///< This instance's lease has run out.
  kClosed,          ///< The flow has ended here.
};

/// Why a flow went where it went; the decision log's `reason`.
enum class PlacementReason : std::uint8_t {
  kDefault,        ///< First usable target of the partition's order.
  kLessLoaded,     ///< The default was busier by the service's threshold.
  kRamp,           ///< The default is still taking a growing share.
  kEjected,        ///< The default swallows new flows.
  kDraining,       ///< The default is draining.
  kSpill,          ///< No local target could serve.
  kRecord,         ///< The flow has a record here.
  kCopy,           ///< A copied exception names the target.
  kFallback,       ///< Established, unknown: the partition's fallback.
  kAskedPrevious,  ///< Placed on behalf of a new owner.
  kAdopted,        ///< Its home failure domain can't be reached.
  kReplaced,       ///< A SYN whose first target is gone, placed again.
};

/// Send the packet to a target, unchanged, in one GUE datagram.
struct ForwardToTarget {
  common::TargetId target;
  common::Endpoint tunnel;
  PlacementReason reason{PlacementReason::kRecord};
};

/// Hand the packet to another instance.
struct RedirectToInstance {
  common::InstanceId instance;
  common::Endpoint tunnel;
  Arrival arrival;  ///< What the receiver shall be told.
};

/// Why a caller is sent a RST.
enum class ResetReason : std::uint8_t {
  kNotRun,      ///< Answers a SYN none of whose payload went anywhere.
  kTargetGone,  ///< The target is published as gone; the outcome is unknown.
  kSilentPath,  ///< The path is dead while new flows to the target work.
};

/// Answer the caller with a TCP RST.
struct ResetCaller {
  ResetReason reason{ResetReason::kNotRun};
};

/// Count the packet and forget it.
struct DropPacket {
  DropReason reason{DropReason::kUnknownService};
};

/// What to do with one packet: exactly one thing.
using PacketAction =
    std::variant<ForwardToTarget, RedirectToInstance, ResetCaller, DropPacket>;

/// Instances a packet may pass through before it is dropped as looping.
inline constexpr std::uint8_t kHopLimit = 5;

}  // namespace sassafrasdyke::core

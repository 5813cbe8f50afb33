/// A received packet and the balancer's decision about it.
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

/// Why one instance redirected a packet to another.
enum class HopPurpose : std::uint8_t {
  kToOwner = 0,      ///< The receiver owns the flow in the sender's view.
  kAskPrevious = 1,  ///< A new owner asks a possible previous owner about a
                     ///< flow that it has no record of.
};

/// How a packet reached this instance.
struct Arrival {
  /// The number of instances it has passed through; 0 from the fabric.
  std::uint8_t hops{0};
  /// The instance that redirected it; only meaningful when `hops` > 0.
  common::InstanceId from;
  HopPurpose purpose{HopPurpose::kToOwner};
  /// The new owner that has asked others about the packet, 0 for none. It gets
  /// the packet back when none of them has a record of the flow, and then
  /// decides itself.
  common::InstanceId asker{};
  /// The grant by which `from` made the receiver the owner of the packet's
  /// partition; 0 for none. The packet may arrive before the message.
  common::GrantNumber grant{};
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
  kStale,           ///< This instance's lease has expired.
  kClosed,          ///< The flow has ended on this instance.
};

/// Why a flow was sent to its target; the decision log's `reason`.
enum class PlacementReason : std::uint8_t {
  kDefault,     ///< The first usable target of the partition.
  kLessLoaded,  ///< The default was busier by the service's threshold.
  kRamp,        ///< The default is in slow start.
  /// The default is ejected, reported unhealthy or unusable, or the placement
  /// is a last resort. `Place` also returns it for a default in a home domain
  /// without owners, but the balancer then reports `kAdopted`.
  kEjected,
  kDraining,       ///< The default is draining.
  kSpill,          ///< No local target could serve.
  kRecord,         ///< The flow has a record here.
  kCopy,           ///< An exception copied to this standby names the target.
  kFallback,       ///< Established without a record: the fallback.
  kAskedPrevious,  ///< Answered for a new owner that asked this instance.
  kAdopted,        ///< The home domain has no instance that can own it.
  kReplaced,       ///< The first target of the SYN is gone; placed anew.
};

/// Send the packet to a target, unchanged, encapsulated in one GUE datagram.
struct ForwardToTarget {
  common::TargetId target;
  common::Endpoint tunnel;
  PlacementReason reason{PlacementReason::kRecord};
};

/// Redirect the packet to another instance.
struct RedirectToInstance {
  common::InstanceId instance;
  common::Endpoint tunnel;
  Arrival arrival;  ///< Sent along to the receiver.
};

/// Why a caller is sent a RST.
enum class ResetReason : std::uint8_t {
  kNotRun,      ///< Refuses a SYN: no payload of the flow was forwarded.
  kTargetGone,  ///< The target is no longer published; outcome unknown.
  kSilentPath,  ///< The flow gets no answers; new flows to its target do.
};

/// Answer the caller with a TCP RST.
struct ResetCaller {
  ResetReason reason{ResetReason::kNotRun};
};

/// Count the packet and discard it.
struct DropPacket {
  DropReason reason{DropReason::kUnknownService};
};

/// What to do with one packet.
using PacketAction =
    std::variant<ForwardToTarget, RedirectToInstance, ResetCaller, DropPacket>;

/// Instances a packet may pass through before it is dropped as looping.
inline constexpr std::uint8_t kHopLimit = 7;

}  // namespace sassafrasdyke::core

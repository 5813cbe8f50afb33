/// Takes datagrams through the data path: unwrap, read, decide, wrap.
#pragma once

#include <tsl/robin_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "core/balancer.h"
#include "core/fleet_view.h"
#include "datapath/packet_fault.h"
#include "datapath/tunnel_socket.h"

namespace sassafrasdyke::datapath {

/// The number of drop reasons, for arrays of counters.
inline constexpr std::size_t kDropReasons =
    static_cast<std::size_t>(core::DropReason::kClosed) + 1;

/// What became of packets; only grow.
struct PacketCounters {
  std::uint64_t forwarded{0};
  std::uint64_t redirected{0};
  std::uint64_t reset{0};
  /// Came from an instance and not from the fabric.
  std::uint64_t from_instances{0};
  std::array<std::uint64_t, kPacketFaults> faults{};
  std::array<std::uint64_t, kDropReasons> drops{};
};

/// Longest wait in the kernel's queue after which a datagram is still handled:
/// the first retransmission of a caller's TCP comes about then.
inline constexpr std::chrono::milliseconds kLongestWait{1000};

/// The data path between the socket and the balancer. Holds no socket.
class PacketHandler {
 public:
  /// `balancer` must outlive it. RSTs go to `fabric_return`, GUE-wrapped.
  PacketHandler(common::InstanceId self, core::Balancer& balancer,
                const common::Endpoint& fabric_return);

  /// Takes the instances whose datagrams' private data is believed.
  void OnFleetView(const core::FleetView& view);

  /// Decides about a batch at `now` (monotonic, since process start). The
  /// result and the views in it are valid until the next call and as long as
  /// `batch` is.
  std::span<const OutgoingDatagram> Handle(
      std::span<const IncomingDatagram> batch, std::chrono::milliseconds now,
      core::Outbox& outbox);

  /// Counts datagrams that are dropped unread because a pause lies behind them.
  void DropLate(std::size_t datagrams);

  const PacketCounters& Counters() const { return this->counters; }
  /// When the fabric last handed over a packet; 0 when never.
  std::chrono::milliseconds LastFromFabric() const {
    return this->last_from_fabric;
  }

 private:
  /// A caller's segment and the bytes it came in.
  struct Segment {
    core::PacketArrived packet;
    ByteView inner;
  };
  struct EndpointHash {
    std::size_t operator()(const common::Endpoint& endpoint) const;
  };

  tl::expected<Segment, PacketFault> Read(
      const IncomingDatagram& datagram) const;
  /// Whether the private data, or its absence, fits the sender's address.
  tl::expected<core::Arrival, PacketFault> CheckOrigin(
      const common::Endpoint& from, const GueDatagram& datagram) const;
  void Act(const Segment& segment, const core::PacketAction& action);
  void Apply(const Segment& segment, const core::ForwardToTarget& action);
  void Apply(const Segment& segment, const core::RedirectToInstance& action);
  void Apply(const Segment& segment, const core::ResetCaller& action);
  void Apply(const Segment& segment, const core::DropPacket& action);

  common::InstanceId self;
  core::Balancer& balancer;
  common::Endpoint fabric_return;
  /// Which instance a tunnel address belongs to.
  tsl::robin_map<common::Endpoint, common::InstanceId, EndpointHash> instances;
  std::vector<OutgoingDatagram> outgoing;
  /// The packets made here, kept until the batch is sent.
  std::vector<std::vector<std::uint8_t>> made;
  std::chrono::milliseconds last_from_fabric{0};
  PacketCounters counters;
};

}  // namespace sassafrasdyke::datapath

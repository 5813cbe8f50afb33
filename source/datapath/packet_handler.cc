#include "datapath/packet_handler.h"

#include <variant>

#include "common/hash.h"
#include "datapath/ip_packet.h"
#include "datapath/reset_packet.h"

namespace sassafrasdyke::datapath {

std::size_t PacketHandler::EndpointHash::operator()(
    const common::Endpoint& endpoint) const {
  const common::IpAddress::Bytes& raw = endpoint.address.Raw();
  return common::HashBytes(raw.data(), raw.size(), endpoint.port);
}

PacketHandler::PacketHandler(common::InstanceId self, core::Balancer& balancer,
                             const common::Endpoint& fabric_return)
    : self(self), balancer(balancer), fabric_return(fabric_return) {}

void PacketHandler::OnFleetView(const core::FleetView& view) {
  this->instances.clear();
  for (const core::InstanceView& instance : view.instances) {
    this->instances.emplace(instance.tunnel, instance.id);
  }
}

std::span<const OutgoingDatagram> PacketHandler::Handle(
    std::span<const IncomingDatagram> batch, std::chrono::milliseconds now,
    core::Outbox& outbox) {
  this->outgoing.clear();
  this->made.clear();
  for (const IncomingDatagram& datagram : batch) {
    const tl::expected<Segment, PacketFault> segment = this->Read(datagram);
    if (!segment) {
      ++this->counters.faults[static_cast<std::size_t>(segment.error())];
      continue;
    }
    if (segment->packet.arrival.hops == 0) {
      this->last_from_fabric = now;
    } else {
      ++this->counters.from_instances;
    }
    this->Act(*segment, this->balancer.OnPacket(segment->packet, now, outbox));
  }
  return this->outgoing;
}

void PacketHandler::DropLate(std::size_t datagrams) {
  this->counters.faults[static_cast<std::size_t>(PacketFault::kLate)] +=
      datagrams;
}

tl::expected<PacketHandler::Segment, PacketFault> PacketHandler::Read(
    const IncomingDatagram& datagram) const {
  // A process that stood still for seconds finds the packets of that time in
  // its queue. Their flows went on over another owner and may have ended there:
  // the old SYN would open the flow again, and the request behind it would run
  // a second time. The caller's TCP has long sent what is still needed again.
  if (datagram.waited > kLongestWait) {
    return tl::unexpected(PacketFault::kLate);
  }
  if (datagram.oversize) {
    return tl::unexpected(PacketFault::kOversize);
  }
  const auto unwrapped = DecodeGue(datagram.bytes);
  if (!unwrapped) {
    return tl::unexpected(unwrapped.error());
  }
  const auto arrival = this->CheckOrigin(datagram.from, *unwrapped);
  if (!arrival) {
    return tl::unexpected(arrival.error());
  }
  auto packet = ReadSegment(unwrapped->inner);
  if (!packet) {
    return tl::unexpected(packet.error());
  }
  packet->arrival = *arrival;
  return Segment{*packet, unwrapped->inner};
}

tl::expected<core::Arrival, PacketFault> PacketHandler::CheckOrigin(
    const common::Endpoint& from, const GueDatagram& datagram) const {
  const auto known = this->instances.find(from);
  const bool from_instance = known != this->instances.end();
  if (!datagram.arrival) {
    // A target published at an instance's address would send every packet of
    // its flows round and round, each time as if it were new from the fabric.
    if (from_instance) {
      return tl::unexpected(PacketFault::kLooping);
    }
    return core::Arrival{};
  }
  // Anyone who reaches the port could otherwise claim that an owner has
  // decided, and steer packets past the placement.
  if (!from_instance || known->second != datagram.arrival->from) {
    return tl::unexpected(PacketFault::kUntrustedHop);
  }
  return *datagram.arrival;
}

void PacketHandler::Act(const Segment& segment,
                        const core::PacketAction& action) {
  std::visit([&](const auto& one) { this->Apply(segment, one); }, action);
}

void PacketHandler::Apply(const Segment& segment,
                          const core::ForwardToTarget& action) {
  ++this->counters.forwarded;
  this->outgoing.push_back(
      {action.tunnel, EncodeForTarget(segment.inner), segment.inner});
}

void PacketHandler::Apply(const Segment& segment,
                          const core::RedirectToInstance& action) {
  ++this->counters.redirected;
  core::Arrival arrival = action.arrival;
  arrival.from = this->self;
  this->outgoing.push_back({action.tunnel,
                            EncodeForInstance(segment.inner, arrival),
                            segment.inner});
}

void PacketHandler::Apply(const Segment& segment, const core::ResetCaller&) {
  // Two ends that answer RST with RST would never stop.
  if (segment.packet.flags.rst) {
    return;
  }
  ++this->counters.reset;
  const auto& packet = this->made.emplace_back(BuildReset(segment.packet));
  this->outgoing.push_back(
      {this->fabric_return, EncodeForTarget(packet), packet});
}

void PacketHandler::Apply(const Segment& /*segment*/,
                          const core::DropPacket& action) {
  ++this->counters.drops[static_cast<std::size_t>(action.reason)];
}

}  // namespace sassafrasdyke::datapath

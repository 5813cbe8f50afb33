#include "datapath/reset_packet.h"

#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/tcp.h>

#include <string>

namespace sassafrasdyke::datapath {
namespace {

constexpr std::uint8_t kTimeToLive = 64;

/// What the segment takes up of the sequence space.
std::uint32_t SequenceLength(const core::PacketArrived& segment) {
  return segment.payload_bytes + (segment.flags.syn ? 1U : 0U) +
         (segment.flags.fin ? 1U : 0U);
}

Tins::TCP ResetHeader(const core::PacketArrived& segment) {
  Tins::TCP tcp(segment.flow.caller.port, segment.flow.service.port);
  tcp.window(0);
  if (segment.flags.ack) {
    tcp.flags(Tins::TCP::RST);
    tcp.seq(segment.acknowledgement);
    return tcp;
  }
  tcp.flags(Tins::TCP::RST | Tins::TCP::ACK);
  tcp.seq(0);
  tcp.ack_seq(segment.sequence + SequenceLength(segment));
  return tcp;
}

}  // namespace

std::vector<std::uint8_t> BuildReset(const core::PacketArrived& segment) {
  const common::IpAddress& caller = segment.flow.caller.address;
  const common::IpAddress& service = segment.flow.service.address;
  if (caller.IsV4()) {
    Tins::IP packet =
        Tins::IP(caller.ToString(), service.ToString()) / ResetHeader(segment);
    packet.ttl(kTimeToLive);
    return packet.serialize();
  }
  Tins::IPv6 packet =
      Tins::IPv6(caller.ToString(), service.ToString()) / ResetHeader(segment);
  packet.hop_limit(kTimeToLive);
  return packet.serialize();
}

}  // namespace sassafrasdyke::datapath

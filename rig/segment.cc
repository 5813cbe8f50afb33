#include "rig/segment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstring>

namespace sassafrasdyke::rig {
namespace {

constexpr std::size_t kGueBytes = 4;
constexpr std::size_t kGueUnit = 4;
constexpr std::uint8_t kGueLengthMask = 0x1F;
constexpr unsigned kGueVersionShift = 6;
constexpr std::uint8_t kTtl = 64;
constexpr std::uint16_t kWindow = 65535;
constexpr std::size_t kV4Offset = 12;
constexpr std::size_t kV4Bytes = 4;
constexpr unsigned kIpVersionShift = 4;

using Bytes = std::vector<std::uint8_t>;

/// The Internet checksum's running sum (RFC 1071).
std::uint32_t Sum(std::span<const std::uint8_t> bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    sum += i % 2 == 0 ? static_cast<std::uint32_t>(bytes[i]) << 8U : bytes[i];
  }
  return sum;
}

std::uint16_t Fold(std::uint32_t sum) {
  while (sum >> 16U != 0) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return htons(static_cast<std::uint16_t>(~sum));
}

/// The address in the family's own length.
std::span<const std::uint8_t> Wire(const common::IpAddress& address) {
  const std::span<const std::uint8_t> raw(address.Raw());
  return address.IsV4() ? raw.subspan(kV4Offset) : raw;
}

template <typename Header>
void Append(Bytes& out, const Header& header) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(&header);
  out.insert(out.end(), bytes, bytes + sizeof(header));
}

template <typename Header>
std::optional<Header> Take(std::span<const std::uint8_t>& in) {
  if (in.size() < sizeof(Header)) {
    return std::nullopt;
  }
  Header header;
  std::memcpy(&header, in.data(), sizeof(header));
  in = in.subspan(sizeof(header));
  return header;
}

Bytes EncodeTcp(const Segment& segment, const common::Endpoint& from,
                const common::Endpoint& to) {
  tcphdr tcp{};
  tcp.source = htons(from.port);
  tcp.dest = htons(to.port);
  tcp.seq = htonl(segment.sequence);
  tcp.ack_seq = htonl(segment.acknowledgement);
  tcp.doff = sizeof(tcp) / sizeof(std::uint32_t);
  tcp.syn = segment.flags.syn;
  tcp.ack = segment.flags.ack;
  tcp.fin = segment.flags.fin;
  tcp.rst = segment.flags.rst;
  tcp.window = htons(kWindow);
  Bytes out;
  Append(out, tcp);
  out.insert(out.end(), segment.payload.begin(), segment.payload.end());
  std::uint32_t sum = Sum(Wire(from.address), 0);
  sum = Sum(Wire(to.address), sum);
  sum += IPPROTO_TCP + static_cast<std::uint32_t>(out.size());
  const std::uint16_t check = Fold(Sum(out, sum));
  std::memcpy(out.data() + offsetof(tcphdr, check), &check, sizeof(check));
  return out;
}

void AppendV4(Bytes& out, const common::IpAddress& from,
              const common::IpAddress& to, std::size_t payload) {
  iphdr ip{};
  ip.version = 4;
  ip.ihl = sizeof(ip) / sizeof(std::uint32_t);
  ip.tot_len = htons(static_cast<std::uint16_t>(sizeof(ip) + payload));
  ip.frag_off = htons(IP_DF);
  ip.ttl = kTtl;
  ip.protocol = IPPROTO_TCP;
  ip.saddr = htonl(from.V4());
  ip.daddr = htonl(to.V4());
  ip.check =
      Fold(Sum({reinterpret_cast<const std::uint8_t*>(&ip), sizeof(ip)}, 0));
  Append(out, ip);
}

void AppendV6(Bytes& out, const common::IpAddress& from,
              const common::IpAddress& to, std::size_t payload) {
  ip6_hdr ip{};
  ip.ip6_flow = htonl(0x60000000U);
  ip.ip6_plen = htons(static_cast<std::uint16_t>(payload));
  ip.ip6_nxt = IPPROTO_TCP;
  ip.ip6_hlim = kTtl;
  std::copy(from.Raw().begin(), from.Raw().end(), ip.ip6_src.s6_addr);
  std::copy(to.Raw().begin(), to.Raw().end(), ip.ip6_dst.s6_addr);
  Append(out, ip);
}

/// The two addresses of an IP header, in the packet's own order.
struct Ends {
  common::IpAddress from;
  common::IpAddress to;
};

std::optional<Ends> TakeV4(std::span<const std::uint8_t>& in) {
  const auto ip = Take<iphdr>(in);
  if (!ip || ip->ihl * sizeof(std::uint32_t) != sizeof(iphdr) ||
      ip->protocol != IPPROTO_TCP ||
      ntohs(ip->tot_len) != sizeof(iphdr) + in.size()) {
    return std::nullopt;
  }
  return Ends{common::IpAddress::FromV4(ntohl(ip->saddr)),
              common::IpAddress::FromV4(ntohl(ip->daddr))};
}

std::optional<Ends> TakeV6(std::span<const std::uint8_t>& in) {
  const auto ip = Take<ip6_hdr>(in);
  if (!ip || ip->ip6_nxt != IPPROTO_TCP || ntohs(ip->ip6_plen) != in.size()) {
    return std::nullopt;
  }
  common::IpAddress::Bytes from{};
  common::IpAddress::Bytes to{};
  std::copy_n(ip->ip6_src.s6_addr, from.size(), from.begin());
  std::copy_n(ip->ip6_dst.s6_addr, to.size(), to.begin());
  return Ends{common::IpAddress(from), common::IpAddress(to)};
}

}  // namespace

std::uint32_t Segment::Length() const {
  return static_cast<std::uint32_t>(this->payload.size()) +
         (this->flags.syn ? 1U : 0U) + (this->flags.fin ? 1U : 0U);
}

std::vector<std::uint8_t> Encode(const Segment& segment) {
  const bool to_service = segment.heading == Heading::kToService;
  const auto& from = to_service ? segment.flow.caller : segment.flow.service;
  const auto& to = to_service ? segment.flow.service : segment.flow.caller;
  const bool v4 = to.address.IsV4();
  const Bytes tcp = EncodeTcp(segment, from, to);
  const auto protocol =
      static_cast<std::uint8_t>(v4 ? IPPROTO_IPIP : IPPROTO_IPV6);
  Bytes out{0, protocol, 0, 0};
  out.reserve(kGueBytes + sizeof(ip6_hdr) + tcp.size());
  if (v4) {
    AppendV4(out, from.address, to.address, tcp.size());
  } else {
    AppendV6(out, from.address, to.address, tcp.size());
  }
  out.insert(out.end(), tcp.begin(), tcp.end());
  return out;
}

std::optional<Segment> Decode(std::span<const std::uint8_t> datagram,
                              Heading heading) {
  if (datagram.size() < kGueBytes || datagram[0] >> kGueVersionShift != 0) {
    return std::nullopt;
  }
  const std::size_t header =
      kGueBytes + kGueUnit * (datagram[0] & kGueLengthMask);
  if (datagram.size() <= header) {
    return std::nullopt;
  }
  std::span<const std::uint8_t> in = datagram.subspan(header);
  const bool v4 = in[0] >> kIpVersionShift == 4;
  const std::optional<Ends> ends = v4 ? TakeV4(in) : TakeV6(in);
  const auto tcp = ends ? Take<tcphdr>(in) : std::nullopt;
  if (!tcp || tcp->doff * sizeof(std::uint32_t) != sizeof(tcphdr)) {
    return std::nullopt;
  }
  const common::Endpoint from{ends->from, ntohs(tcp->source)};
  const common::Endpoint to{ends->to, ntohs(tcp->dest)};
  Segment segment;
  segment.heading = heading;
  segment.flow = heading == Heading::kToService ? common::FlowKey{from, to}
                                                : common::FlowKey{to, from};
  segment.flags = {.syn = tcp->syn != 0,
                   .ack = tcp->ack != 0,
                   .fin = tcp->fin != 0,
                   .rst = tcp->rst != 0};
  segment.sequence = ntohl(tcp->seq);
  segment.acknowledgement = ntohl(tcp->ack_seq);
  segment.payload.assign(in.begin(), in.end());
  return segment;
}

bool Before(std::uint32_t left, std::uint32_t right) {
  return static_cast<std::int32_t>(left - right) < 0;
}

}  // namespace sassafrasdyke::rig

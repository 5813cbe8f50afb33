#include "datapath/ip_packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>

namespace sassafrasdyke::datapath {
namespace {

constexpr std::size_t kWord = 4;
constexpr unsigned kVersionShift = 4;
constexpr std::uint8_t kIpV6 = 6;
/// The length unit of IPv6 extension headers.
constexpr std::size_t kExtensionUnit = 8;
/// More extension headers than any sender has use for.
constexpr int kMaxExtensions = 4;

/// The ends and the transport bytes of an IP packet.
struct IpPacket {
  common::IpAddress source;
  common::IpAddress destination;
  ByteView transport;
};

/// Copies a header out of the bytes: they are not aligned for it.
template <typename Header>
Header ReadHeader(ByteView bytes) {
  Header header;
  std::memcpy(&header, bytes.data(), sizeof(header));
  return header;
}

common::IpAddress AddressOf(const in6_addr& address) {
  common::IpAddress::Bytes bytes{};
  std::copy(std::begin(address.s6_addr), std::end(address.s6_addr),
            bytes.begin());
  return common::IpAddress(bytes);
}

bool IsFragment(const iphdr& header) {
  return (ntohs(header.frag_off) & (IP_MF | IP_OFFMASK)) != 0;
}

tl::expected<IpPacket, PacketFault> ReadV4(ByteView inner) {
  if (inner.size() < sizeof(iphdr)) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const iphdr header = ReadHeader<iphdr>(inner);
  const std::size_t header_bytes = header.ihl * kWord;
  const std::size_t total = ntohs(header.tot_len);
  if (header_bytes < sizeof(iphdr) || total < header_bytes) {
    return tl::unexpected(PacketFault::kBadIpHeader);
  }
  if (inner.size() < total) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  // Bytes behind the total length would be forwarded unseen.
  if (inner.size() > total) {
    return tl::unexpected(PacketFault::kBadIpHeader);
  }
  if (IsFragment(header)) {
    return tl::unexpected(PacketFault::kFragmented);
  }
  if (header.protocol != IPPROTO_TCP) {
    return tl::unexpected(PacketFault::kNotTcp);
  }
  return IpPacket{.source = common::IpAddress::FromV4(ntohl(header.saddr)),
                  .destination = common::IpAddress::FromV4(ntohl(header.daddr)),
                  .transport = inner.subspan(header_bytes)};
}

bool IsExtension(std::uint8_t next) {
  return next == IPPROTO_HOPOPTS || next == IPPROTO_DSTOPTS ||
         next == IPPROTO_ROUTING;
}

/// Steps over extension headers; the result starts with the TCP header.
tl::expected<ByteView, PacketFault> SkipExtensions(std::uint8_t next,
                                                   ByteView rest) {
  for (int seen = 0; IsExtension(next); ++seen) {
    if (seen == kMaxExtensions) {
      return tl::unexpected(PacketFault::kBadIpHeader);
    }
    if (rest.size() < sizeof(ip6_ext)) {
      return tl::unexpected(PacketFault::kTruncated);
    }
    const ip6_ext extension = ReadHeader<ip6_ext>(rest);
    const std::size_t length = (extension.ip6e_len + 1U) * kExtensionUnit;
    if (rest.size() < length) {
      return tl::unexpected(PacketFault::kTruncated);
    }
    next = extension.ip6e_nxt;
    rest = rest.subspan(length);
  }
  if (next == IPPROTO_FRAGMENT) {
    return tl::unexpected(PacketFault::kFragmented);
  }
  if (next != IPPROTO_TCP) {
    return tl::unexpected(PacketFault::kNotTcp);
  }
  return rest;
}

tl::expected<IpPacket, PacketFault> ReadV6(ByteView inner) {
  if (inner.size() < sizeof(ip6_hdr)) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const ip6_hdr header = ReadHeader<ip6_hdr>(inner);
  const std::size_t total = sizeof(ip6_hdr) + ntohs(header.ip6_plen);
  if (inner.size() < total) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  if (inner.size() > total) {
    return tl::unexpected(PacketFault::kBadIpHeader);
  }
  const IpPacket packet{.source = AddressOf(header.ip6_src),
                        .destination = AddressOf(header.ip6_dst),
                        .transport = {}};
  // An IPv4-mapped address would share its key with a true IPv4 flow, and the
  // packets of two callers would meet in one record.
  if (packet.source.IsV4() || packet.destination.IsV4()) {
    return tl::unexpected(PacketFault::kBadIpHeader);
  }
  return SkipExtensions(header.ip6_nxt, inner.subspan(sizeof(ip6_hdr)))
      .map([&](ByteView transport) {
        return IpPacket{packet.source, packet.destination, transport};
      });
}

tl::expected<IpPacket, PacketFault> ReadIp(ByteView inner) {
  if (inner.empty()) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  switch (inner.front() >> kVersionShift) {
    case IPVERSION:
      return ReadV4(inner);
    case kIpV6:
      return ReadV6(inner);
    default:
      return tl::unexpected(PacketFault::kBadIpHeader);
  }
}

/// Whether any TCP sender makes such flags. A segment that both opens and ends
/// a flow would create a record that nothing ever closes.
bool FlagsMakeSense(const tcphdr& header) {
  const bool opens_and_ends =
      header.syn != 0 && (header.fin != 0 || header.rst != 0);
  const bool nothing =
      header.syn == 0 && header.ack == 0 && header.rst == 0 && header.fin == 0;
  return !opens_and_ends && !nothing;
}

tl::expected<core::PacketArrived, PacketFault> ReadTcp(const IpPacket& packet) {
  if (packet.transport.size() < sizeof(tcphdr)) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const tcphdr header = ReadHeader<tcphdr>(packet.transport);
  const std::size_t header_bytes = header.doff * kWord;
  if (header_bytes < sizeof(tcphdr) || !FlagsMakeSense(header)) {
    return tl::unexpected(PacketFault::kBadTcpHeader);
  }
  if (packet.transport.size() < header_bytes) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  core::PacketArrived segment;
  segment.flow = {.caller = {packet.source, ntohs(header.source)},
                  .service = {packet.destination, ntohs(header.dest)}};
  segment.flags = {.syn = header.syn != 0,
                   .ack = header.ack != 0,
                   .fin = header.fin != 0,
                   .rst = header.rst != 0};
  segment.sequence = ntohl(header.seq);
  segment.acknowledgement = ntohl(header.ack_seq);
  segment.payload_bytes =
      static_cast<std::uint32_t>(packet.transport.size() - header_bytes);
  return segment;
}

}  // namespace

tl::expected<core::PacketArrived, PacketFault> ReadSegment(ByteView inner) {
  return ReadIp(inner).and_then(ReadTcp);
}

}  // namespace sassafrasdyke::datapath

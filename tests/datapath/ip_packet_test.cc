/// Segments read from inner packets, and packets that are none.
#include "datapath/ip_packet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "datapath/packets.h"

namespace sassafrasdyke::datapath {
namespace {

struct Good {
  const char* name;
  SegmentPlan plan;
  core::TcpFlags flags;
};

std::ostream& operator<<(std::ostream& out, const Good& row) {
  return out << row.name;
}

using Tins::TCP;

const Good kGood[] = {
    {"SYN, IPv4", {.flags = TCP::SYN}, {.syn = true}},
    {"SYN, IPv6", {.family = Family::kV6, .flags = TCP::SYN}, {.syn = true}},
    {"data, IPv4",
     {.flags = TCP::ACK | TCP::PSH, .acknowledgement = 77, .payload = "abc"},
     {.ack = true}},
    {"data, IPv6",
     {.family = Family::kV6, .flags = TCP::ACK, .payload = "abcdef"},
     {.ack = true}},
    {"FIN", {.flags = TCP::FIN | TCP::ACK}, {.ack = true, .fin = true}},
    {"RST", {.flags = TCP::RST}, {.rst = true}},
};

BOOST_DATA_TEST_CASE(reads_a_segment, kGood, row) {
  const auto segment = ReadSegment(Serialize(row.plan));

  BOOST_REQUIRE(segment.has_value());
  const Family family = row.plan.family;
  BOOST_TEST(segment->flow.caller.address.ToString() == CallerOf(family));
  BOOST_TEST(segment->flow.caller.port == kCallerPort);
  BOOST_TEST(segment->flow.service.address.ToString() == ServiceOf(family));
  BOOST_TEST(segment->flow.service.port == kServicePort);
  BOOST_TEST(segment->flags.syn == row.flags.syn);
  BOOST_TEST(segment->flags.ack == row.flags.ack);
  BOOST_TEST(segment->flags.fin == row.flags.fin);
  BOOST_TEST(segment->flags.rst == row.flags.rst);
  BOOST_TEST(segment->sequence == row.plan.sequence);
  BOOST_TEST(segment->acknowledgement == row.plan.acknowledgement);
  BOOST_TEST(segment->payload_bytes == row.plan.payload.size());
}

struct Bad {
  const char* name;
  Family family;
  PacketFault fault;
  std::function<void(Bytes&)> spoil;
};

std::ostream& operator<<(std::ostream& out, const Bad& row) {
  return out << row.name;
}

constexpr std::size_t kV4Tcp = 20;
constexpr std::size_t kV6Tcp = 40;
constexpr std::size_t kOffsetAt = 12;
constexpr std::size_t kFlagsAt = 13;

const Bad kBad[] = {
    {"nothing", Family::kV4, PacketFault::kTruncated,
     [](Bytes& b) { b.clear(); }},
    {"IP version 5", Family::kV4, PacketFault::kBadIpHeader,
     [](Bytes& b) { b[0] = 0x55; }},
    {"IPv4 header cut", Family::kV4, PacketFault::kTruncated,
     [](Bytes& b) { b.resize(19); }},
    {"IPv4 header length 4", Family::kV4, PacketFault::kBadIpHeader,
     [](Bytes& b) { b[0] = 0x41; }},
    {"IPv4 header length past the total", Family::kV4,
     PacketFault::kBadIpHeader, [](Bytes& b) { b[0] = 0x4F; }},
    {"IPv4 total length too small", Family::kV4, PacketFault::kBadIpHeader,
     [](Bytes& b) { b[3] = 8; }},
    {"IPv4 total length past the end", Family::kV4, PacketFault::kTruncated,
     [](Bytes& b) { b[3] = 200; }},
    {"IPv4 bytes behind the end", Family::kV4, PacketFault::kBadIpHeader,
     [](Bytes& b) { b.push_back(0); }},
    {"IPv4 first fragment", Family::kV4, PacketFault::kFragmented,
     [](Bytes& b) { b[6] = 0x20; }},
    {"IPv4 later fragment", Family::kV4, PacketFault::kFragmented,
     [](Bytes& b) { b[7] = 0x10; }},
    {"IPv4 UDP", Family::kV4, PacketFault::kNotTcp,
     [](Bytes& b) { b[9] = 17; }},
    {"IPv4 ICMP", Family::kV4, PacketFault::kNotTcp,
     [](Bytes& b) { b[9] = 1; }},
    {"TCP header cut", Family::kV4, PacketFault::kTruncated,
     [](Bytes& b) {
       b.resize(kV4Tcp + 19);
       b[3] = kV4Tcp + 19;
     }},
    {"TCP data offset 4", Family::kV4, PacketFault::kBadTcpHeader,
     [](Bytes& b) { b[kV4Tcp + kOffsetAt] = 0x40; }},
    {"TCP data offset past the end", Family::kV4, PacketFault::kTruncated,
     [](Bytes& b) { b[kV4Tcp + kOffsetAt] = 0xF0; }},
    {"SYN and FIN", Family::kV4, PacketFault::kBadTcpHeader,
     [](Bytes& b) { b[kV4Tcp + kFlagsAt] = 0x03; }},
    {"SYN and RST", Family::kV4, PacketFault::kBadTcpHeader,
     [](Bytes& b) { b[kV4Tcp + kFlagsAt] = 0x06; }},
    {"no flags", Family::kV4, PacketFault::kBadTcpHeader,
     [](Bytes& b) { b[kV4Tcp + kFlagsAt] = 0; }},
    {"IPv6 header cut", Family::kV6, PacketFault::kTruncated,
     [](Bytes& b) { b.resize(39); }},
    {"IPv6 payload past the end", Family::kV6, PacketFault::kTruncated,
     [](Bytes& b) { b[5] = 99; }},
    {"IPv6 bytes behind the end", Family::kV6, PacketFault::kBadIpHeader,
     [](Bytes& b) { b.push_back(0); }},
    {"IPv6 fragment header", Family::kV6, PacketFault::kFragmented,
     [](Bytes& b) { b[6] = 44; }},
    {"IPv6 UDP", Family::kV6, PacketFault::kNotTcp,
     [](Bytes& b) { b[6] = 17; }},
    {"IPv6 extension past the end", Family::kV6, PacketFault::kTruncated,
     [](Bytes& b) {
       b[6] = 0;
       b[kV6Tcp + 1] = 200;
     }},
    {"IPv6 with an IPv4-mapped source", Family::kV6, PacketFault::kBadIpHeader,
     [](Bytes& b) {
       std::fill(b.begin() + 8, b.begin() + 18, 0);
       b[18] = 0xFF;
       b[19] = 0xFF;
     }},
};

// A broken or hostile sender sets lengths that lie. Read as they stand they
// would take the ports from other bytes, and the packet would reach the record
// of a flow that is not its own.
BOOST_DATA_TEST_CASE(refuses_a_packet_with_its_reason, kBad, row) {
  Bytes packet = Serialize({.family = row.family});
  row.spoil(packet);

  const auto segment = ReadSegment(packet);

  BOOST_REQUIRE(!segment.has_value());
  BOOST_TEST(Word(segment.error()) == Word(row.fault));
}

// Every length of a packet that was cut on its way. An out-of-bounds read here
// stops the process under the sanitizers, and in production now and then.
BOOST_AUTO_TEST_CASE(refuses_every_cut) {
  for (const Family family : {Family::kV4, Family::kV6}) {
    const Bytes whole = Serialize({.family = family, .payload = "0123456789"});
    for (std::size_t length = 0; length < whole.size(); ++length) {
      const Bytes cut(whole.begin(),
                      whole.begin() + static_cast<std::ptrdiff_t>(length));
      BOOST_TEST(!ReadSegment(cut).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(steps_over_ipv6_extensions) {
  Bytes packet = Serialize({.family = Family::kV6, .payload = "abc"});
  const Bytes options = {6, 0, 1, 4, 0, 0, 0, 0};
  packet.insert(packet.begin() + kV6Tcp, options.begin(), options.end());
  packet[5] = static_cast<std::uint8_t>(packet[5] + options.size());
  packet[6] = 0;

  const auto segment = ReadSegment(packet);

  BOOST_REQUIRE(segment.has_value());
  BOOST_TEST(segment->flow.service.port == kServicePort);
  BOOST_TEST(segment->payload_bytes == 3U);
}

}  // namespace
}  // namespace sassafrasdyke::datapath

/// RSTs as a caller's TCP would take them.
#include "datapath/reset_packet.h"

#include <netinet/in.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "datapath/ip_packet.h"
#include "datapath/packets.h"

namespace sassafrasdyke::datapath {
namespace {

using Tins::TCP;

struct Answer {
  const char* name;
  SegmentPlan plan;
  std::uint32_t sequence;
  std::uint32_t acknowledgement;
  bool acknowledges;
};

std::ostream& operator<<(std::ostream& out, const Answer& row) {
  return out << row.name;
}

const Answer kAnswers[] = {
    {"SYN, IPv4", {.sequence = 1000}, 0, 1001, true},
    {"SYN, IPv6", {.family = Family::kV6, .sequence = 1000}, 0, 1001, true},
    {"SYN with data", {.sequence = 1000, .payload = "abc"}, 0, 1004, true},
    {"SYN at the end of the numbers", {.sequence = 0xFFFFFFFF}, 0, 0, true},
    {"data, IPv4",
     {.flags = TCP::ACK,
      .sequence = 5,
      .acknowledgement = 9000,
      .payload = "x"},
     9000,
     0,
     false},
    {"data, IPv6",
     {.family = Family::kV6, .flags = TCP::ACK, .acknowledgement = 9000},
     9000,
     0,
     false},
    {"FIN", {.flags = TCP::FIN | TCP::ACK, .acknowledgement = 7}, 7, 0, false},
};

/// Adds up a packet's 16-bit words; a right checksum makes the sum 0xFFFF.
std::uint32_t FoldedSum(const Bytes& bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::uint32_t byte = bytes[i];
    sum += i % 2 == 0 ? byte << 8U : byte;
  }
  while (sum > 0xFFFF) {
    sum = (sum & 0xFFFF) + (sum >> 16U);
  }
  return sum;
}

/// The sum over pseudo-header and TCP header.
std::uint32_t TcpSum(const Bytes& packet, Family family) {
  const std::size_t header = family == Family::kV4 ? 20 : 40;
  const std::size_t addresses = family == Family::kV4 ? 12 : 8;
  const Bytes summed(packet.begin() + static_cast<std::ptrdiff_t>(addresses),
                     packet.end());
  const auto length = static_cast<std::uint32_t>(packet.size() - header);
  return FoldedSum(summed, length + IPPROTO_TCP);
}

// A caller's TCP drops a RST whose numbers or checksum are wrong without a
// word. The negotiator would look at a frozen diary until the connection times
// out, in place of reconnecting at once.
BOOST_DATA_TEST_CASE(a_caller_accepts_the_reset, kAnswers, row) {
  const auto segment = ReadSegment(Serialize(row.plan));
  BOOST_REQUIRE(segment.has_value());

  const Bytes packet = BuildReset(*segment);
  const auto reset = ReadSegment(packet);

  BOOST_REQUIRE(reset.has_value());
  BOOST_CHECK(reset->flow.caller == segment->flow.service);
  BOOST_CHECK(reset->flow.service == segment->flow.caller);
  BOOST_TEST(reset->flags.rst);
  BOOST_TEST(!reset->flags.syn);
  BOOST_TEST(reset->flags.ack == row.acknowledges);
  BOOST_TEST(reset->sequence == row.sequence);
  BOOST_TEST(reset->acknowledgement == row.acknowledgement);
  BOOST_TEST(TcpSum(packet, row.plan.family) == 0xFFFFU);
  if (row.plan.family == Family::kV4) {
    const Bytes header(packet.begin(), packet.begin() + 20);
    BOOST_TEST(FoldedSum(header, 0) == 0xFFFFU);
  }
}

}  // namespace
}  // namespace sassafrasdyke::datapath

/// The platform's packets, byte by byte.
#include "platform/packet_codec.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace sassafrasdyke::platform {
namespace {

using Bytes = std::vector<std::uint8_t>;

/// A SYN from 100.64.0.7:40001 to 198.18.0.1:443, as the platform's page shows
/// it.
const Bytes kSyn = {0x40, 0x00, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12,
                    0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb, 0xa1, 0xb2,
                    0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                    0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00};
/// The reset that answers it.
const Bytes kReset = {0x02, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40,
                      0x00, 0x07, 0x01, 0xbb, 0x9c, 0x41, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

BOOST_AUTO_TEST_CASE(the_head_of_a_syn_is_read) {
  const auto packet = PacketCodec().Read(kSyn);

  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST(packet->flow.ToString() == "100.64.0.7:40001->198.18.0.1:443");
  BOOST_TEST(packet->flags.syn);
  BOOST_TEST(!packet->flags.ack);
  BOOST_TEST(packet->word.value == 0U);
  BOOST_TEST(packet->repeats == 0U);
}

BOOST_AUTO_TEST_CASE(the_reset_of_a_syn_is_the_pages_own) {
  Bytes bytes(64, 0xFF);

  const std::size_t size =
      PacketCodec().WriteReset(*PacketCodec().Read(kSyn), bytes);
  bytes.resize(size);

  BOOST_TEST(bytes == kReset, boost::test_tools::per_element());
}

// A client takes a reset of an open flow only if it lies near what it last
// acknowledged; any other is dropped, and the client waits on.
BOOST_AUTO_TEST_CASE(the_reset_of_an_open_flow_carries_its_acknowledgement) {
  Bytes data = kSyn;
  data[0] = 0x20;
  data[28] = 0xAB;
  Bytes bytes(64);

  PacketCodec().WriteReset(*PacketCodec().Read(data), bytes);

  BOOST_TEST(bytes[24] == 0xAB);
}

// The sum in the head covers everything but the carried word. One changed byte
// more, and the target drops the packet as forged.
BOOST_AUTO_TEST_CASE(a_target_gets_the_packet_changed_in_its_word_only) {
  Bytes bytes(kSyn.size() + core::kTargetOverhead);

  const std::size_t size =
      PacketCodec().WriteForTarget(kSyn, {0x52c36f2787}, {0xDEADBEEF}, bytes);

  BOOST_TEST(size == kSyn.size() + 8);
  const Bytes id(bytes.begin(), bytes.begin() + 8);
  BOOST_TEST(id == (Bytes{0, 0, 0, 0x52, 0xc3, 0x6f, 0x27, 0x87}),
             boost::test_tools::per_element());
  Bytes expected = kSyn;
  expected[20] = 0xDE;
  expected[21] = 0xAD;
  expected[22] = 0xBE;
  expected[23] = 0xEF;
  const Bytes packet(bytes.begin() + 8,
                     bytes.begin() + static_cast<std::ptrdiff_t>(size));
  BOOST_TEST(packet == expected, boost::test_tools::per_element());
}

const std::size_t kWrongSizes[] = {0, 1, 31, 33, 1400};

// Datagrams of others arrive at the same port. None of them may be taken for a
// packet and sent on.
BOOST_DATA_TEST_CASE(bytes_of_another_size_are_no_packet, kWrongSizes, size) {
  Bytes bytes = kSyn;
  bytes.resize(size);

  BOOST_TEST(!PacketCodec().Read(bytes).has_value());
}

}  // namespace
}  // namespace sassafrasdyke::platform

/// GUE headers there and back, and those that are refused.
#include "datapath/gue.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "datapath/packets.h"

namespace sassafrasdyke::datapath {
namespace {

Bytes Wrap(const GueHeader& header, const Bytes& inner) {
  Bytes datagram(header.View().begin(), header.View().end());
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

const Family kFamilies[] = {Family::kV4, Family::kV6};

BOOST_DATA_TEST_CASE(a_target_gets_the_inner_packet_unchanged, kFamilies,
                     family) {
  const Bytes inner = Serialize({.family = family, .payload = "hello"});

  const Bytes datagram = Wrap(EncodeForTarget(inner), inner);
  const auto decoded = DecodeGue(datagram);

  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(datagram.size() == inner.size() + 4);
  BOOST_TEST(std::ranges::equal(decoded->inner, inner));
  BOOST_TEST(!decoded->arrival.has_value());
}

BOOST_DATA_TEST_CASE(an_instance_learns_the_hop, kFamilies, family) {
  const Bytes inner = Serialize({.family = family});
  const core::Arrival sent{.hops = 2,
                           .from = {0x01020304},
                           .purpose = core::HopPurpose::kAskPrevious,
                           .asker = {5},
                           .grant = {0xFEDC}};

  const Bytes datagram = Wrap(EncodeForInstance(inner, sent), inner);
  const auto decoded = DecodeGue(datagram);

  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->arrival.has_value());
  BOOST_TEST(std::ranges::equal(decoded->inner, inner));
  BOOST_TEST(decoded->arrival->hops == sent.hops);
  BOOST_TEST(decoded->arrival->from == sent.from);
  BOOST_CHECK(decoded->arrival->purpose == sent.purpose);
  BOOST_TEST(decoded->arrival->grant == sent.grant);
}

struct Asked {
  common::InstanceId asker;
  std::size_t header;
};

std::ostream& operator<<(std::ostream& out, const Asked& row) {
  return out << "asker " << row.asker;
}

const Asked kAsked[] = {{{0}, 12}, {{0x05060708}, 16}};

// Guards against a packet that is asked about for ever: the asker's id comes
// back to it, and a header without one is as it was.
BOOST_DATA_TEST_CASE(an_instance_learns_the_asker, kAsked, row) {
  const Bytes inner = Serialize({.family = kFamilies[0]});

  const Bytes datagram =
      Wrap(EncodeForInstance(inner, {.hops = 2,
                                     .from = {1},
                                     .purpose = core::HopPurpose::kToOwner,
                                     .asker = row.asker}),
           inner);
  const auto decoded = DecodeGue(datagram);

  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->arrival.has_value());
  BOOST_TEST(datagram.size() == inner.size() + row.header);
  BOOST_TEST(decoded->arrival->asker == row.asker);
}

BOOST_DATA_TEST_CASE(a_bare_packet_is_variant_1, kFamilies, family) {
  const Bytes inner = Serialize({.family = family});

  const auto decoded = DecodeGue(inner);

  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(std::ranges::equal(decoded->inner, inner));
}

struct Refused {
  const char* name;
  Bytes bytes;
  PacketFault fault;
};

std::ostream& operator<<(std::ostream& out, const Refused& row) {
  return out << row.name;
}

const Refused kRefused[] = {
    {"nothing", {}, PacketFault::kTruncated},
    {"half a header", {0x00, 0x04}, PacketFault::kTruncated},
    {"no inner packet", {0x00, 0x04, 0, 0}, PacketFault::kTruncated},
    {"private data cut", {0x02, 0x04, 0, 0, 1, 0}, PacketFault::kTruncated},
    {"control message", {0x20, 0x04, 0, 0, 0x45}, PacketFault::kBadGue},
    {"flags set", {0x00, 0x04, 0x80, 0, 0x45}, PacketFault::kBadGue},
    {"one extra word",
     {0x01, 0x04, 0, 0, 0, 0, 0, 0, 0x45},
     PacketFault::kBadGue},
    {"protocol 41 before IPv4", {0x00, 41, 0, 0, 0x45}, PacketFault::kBadGue},
    {"protocol 17", {0x00, 17, 0, 0, 0x45}, PacketFault::kBadGue},
    {"hop count 0",
     {0x02, 0x04, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0x45},
     PacketFault::kBadGue},
    {"unknown purpose",
     {0x02, 0x04, 0, 0, 1, 9, 0, 0, 0, 0, 0, 1, 0x45},
     PacketFault::kBadGue},
    {"a question of nobody",
     {0x02, 0x04, 0, 0, 1, 1, 0, 0, 0, 0, 0, 1, 0x45},
     PacketFault::kBadGue},
    {"variant 2", {0x80, 0x04, 0, 0, 0x45}, PacketFault::kBadGue},
    {"variant 1 of IP version 5", {0x50, 0, 0, 0}, PacketFault::kBadGue},
};

// Something other than the fabric sends to the tunnel's port: a scan, another
// product, or a cut datagram. Taken for a packet, its bytes would be read as
// some caller's flow.
BOOST_DATA_TEST_CASE(refuses_other_headers, kRefused, row) {
  const auto decoded = DecodeGue(row.bytes);

  BOOST_REQUIRE(!decoded.has_value());
  BOOST_TEST(Word(decoded.error()) == Word(row.fault));
}

}  // namespace
}  // namespace sassafrasdyke::datapath

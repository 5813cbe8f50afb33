/// The stand-ins' own packet codec.
#include "rig/segment.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::rig {
namespace {

struct Ends {
  std::string caller;
  std::string service;
  Heading heading;
};

std::ostream& operator<<(std::ostream& out, const Ends& row) {
  return out << row.caller << ' ' << static_cast<int>(row.heading);
}

const Ends kEnds[] = {
    {"10.0.0.1:1024", "192.0.2.10:443", Heading::kToService},
    {"10.0.0.1:1024", "192.0.2.10:443", Heading::kToCaller},
    {"[2001:db8::1]:1024", "[2001:db8::20]:443", Heading::kToService},
    {"[2001:db8::1]:1024", "[2001:db8::20]:443", Heading::kToCaller},
};

Segment SegmentOf(const Ends& row) {
  return {row.heading,
          {*common::Endpoint::Parse(row.caller),
           *common::Endpoint::Parse(row.service)},
          {.syn = true, .ack = true, .fin = false, .rst = true},
          0xFFFFFFF0,
          7,
          {1, 2, 3}};
}

BOOST_DATA_TEST_CASE(reads_what_it_writes, kEnds, row) {
  const Segment sent = SegmentOf(row);

  const auto read = Decode(Encode(sent), row.heading);

  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->flow == sent.flow));
  BOOST_TEST((read->flags.syn && read->flags.ack && !read->flags.fin));
  BOOST_TEST(read->flags.rst);
  BOOST_TEST(read->sequence == sent.sequence);
  BOOST_TEST(read->acknowledgement == sent.acknowledgement);
  BOOST_TEST(read->payload == sent.payload, boost::test_tools::per_element());
}

// A balancer that cuts packets short must not pass for one that works.
BOOST_DATA_TEST_CASE(refuses_every_shorter_datagram, kEnds, row) {
  const auto datagram = Encode(SegmentOf(row));
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    const auto start = std::span(datagram).first(size);
    BOOST_TEST(!Decode(start, row.heading).has_value());
  }
}

BOOST_AUTO_TEST_CASE(sequence_numbers_wrap) {
  BOOST_TEST(Before(0xFFFFFFF0, 5));
  BOOST_TEST(!Before(5, 0xFFFFFFF0));
  BOOST_TEST(!Before(5, 5));
}

}  // namespace
}  // namespace sassafrasdyke::rig

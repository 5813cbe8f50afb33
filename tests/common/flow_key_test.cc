/// Flows as text and as fingerprints.
#include "common/flow_key.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasdyke::common {
namespace {

FlowKey Sample() {
  return {*Endpoint::Parse("198.51.100.7:40000"),
          *Endpoint::Parse("192.0.2.1:80")};
}

BOOST_AUTO_TEST_CASE(writes_both_ends) {
  BOOST_TEST(Sample().ToString() == "198.51.100.7:40000->192.0.2.1:80");
}

// Two instances that disagree on a fingerprint send the packets of one flow to
// different owners; its caller would see the connection hang.
BOOST_AUTO_TEST_CASE(every_part_of_a_flow_counts) {
  const FlowKey flow = Sample();
  FlowKey other_port = flow;
  ++other_port.caller.port;
  FlowKey other_service = flow;
  ++other_service.service.port;
  const FlowKey swapped{flow.service, flow.caller};

  BOOST_TEST(FingerprintOf(flow, 1) == FingerprintOf(flow, 1));
  BOOST_TEST(FingerprintOf(flow, 1) != FingerprintOf(flow, 2));
  BOOST_TEST(FingerprintOf(flow, 1) != FingerprintOf(other_port, 1));
  BOOST_TEST(FingerprintOf(flow, 1) != FingerprintOf(other_service, 1));
  BOOST_TEST(FingerprintOf(flow, 1) != FingerprintOf(swapped, 1));
}

}  // namespace
}  // namespace sassafrasdyke::common

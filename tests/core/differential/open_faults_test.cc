/// Seeds that core_explore found and that still fail; KNOWN-RED.txt lists this
/// program. A seed that passes again moves to differential_test.cc.
#define BOOST_TEST_MODULE core_open_faults
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/differential/properties.h"

namespace sassafrasdyke::core::testing {

static std::ostream& operator<<(std::ostream& out, const Trials& row) {
  return out << "planned, seed " << row.seed;
}

namespace {

const Trials kTwoOwners[] = {
    {Mix::kPlanned, 910550, 60, false},
    {Mix::kPlanned, 910937, 60, false},
};

// Guards against two simultaneous owners of a partition that don't discover
// each other by asking: one places a flow, the other sends its next packet to
// the fallback.
BOOST_DATA_TEST_CASE(no_flow_breaks_between_two_owners, kTwoOwners, row) {
  const std::string wrong = Check(row);

  BOOST_TEST(wrong.empty(), wrong);
}

const Trials kNoTarget[] = {
    {Mix::kPlanned, 910553, 60, false},
    {Mix::kPlanned, 910883, 60, false},
};

// Guards against a caller that gets no answer for half a minute: all targets
// drain, and a new owner drops its SYN instead of refusing it.
BOOST_DATA_TEST_CASE(a_flow_without_target_is_refused_at_once, kNoTarget, row) {
  const std::string wrong = Check(row);

  BOOST_TEST(wrong.empty(), wrong);
}

}  // namespace
}  // namespace sassafrasdyke::core::testing

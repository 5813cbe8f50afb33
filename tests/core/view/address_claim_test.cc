/// Tests which of two targets that publish one address holds it.
#include "core/view/address_claim.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

struct ClaimRow {
  std::string name;
  AddressClaim holder;
  AddressClaim other;
  AddressStanding standing;  ///< Of the other one.
};

std::ostream& operator<<(std::ostream& out, const ClaimRow& row) {
  return out << row.name;
}

const ClaimRow kClaims[] = {
    {"the previous target's entry is still published",
     {true, 60'000ms, {4}, "b"},
     {true, 10'000ms, {3}, "a"},
     AddressStanding::kReplaced},
    {"the previous target's write is applied late",
     {true, 60'000ms, {4}, "b"},
     {true, 10'000ms, {5}, "a"},
     AddressStanding::kReplaced},
    {"starts that clocks can't order",
     {true, 12'000ms, {4}, "b"},
     {true, 10'000ms, {5}, "a"},
     AddressStanding::kContested},
    {"starts that clocks can just not order",
     {true, 10'000ms + kMaxClockDifference, {4}, "b"},
     {true, 10'000ms, {5}, "a"},
     AddressStanding::kContested},
    {"no starts",
     {true, std::nullopt, {5}, "a"},
     {true, std::nullopt, {4}, "b"},
     AddressStanding::kReplaced},
    {"one start only",
     {true, 0ms, {4}, "a"},
     {true, std::nullopt, {5}, "b"},
     AddressStanding::kContested},
    {"another program's entry of a service that isn't configured",
     {true, 10'000ms, {4}, "a"},
     {false, 60'000ms, {5}, "b"},
     AddressStanding::kContested},
    {"equal but for the name",
     {true, 1ms, {4}, "b"},
     {true, 1ms, {4}, "a"},
     AddressStanding::kContested},
};

// Guards against instances that send flows of one address to different targets,
// and against ending a target that may live.
BOOST_DATA_TEST_CASE(the_target_that_started_last_holds_the_address, kClaims,
                     row) {
  BOOST_TEST(Outranks(row.holder, row.other));
  BOOST_TEST(!Outranks(row.other, row.holder));
  BOOST_TEST(!Outranks(row.holder, row.holder));
  BOOST_TEST((StandingBeside(row.other, row.holder) == row.standing));
}

}  // namespace
}  // namespace sassafrasdyke::core

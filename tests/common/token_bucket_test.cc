/// What a token bucket holds as time goes by.
#include "common/token_bucket.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>

namespace sassafrasdyke::common {
namespace {

using namespace std::chrono_literals;

struct Wait {
  std::chrono::milliseconds wait;
  double fill;
};

std::ostream& operator<<(std::ostream& out, const Wait& row) {
  return out << row.wait.count() << " ms";
}

const Wait kWaits[] = {
    {0ms, 0.0}, {500ms, 0.125}, {1000ms, 0.25}, {600'000ms, 0.25}};

// A burst of copies empties an instance's budget, and then nothing is sent for
// a while. If the fill were only brought up to date by sending, placement would
// go on avoiding exceptions as if the budget were still empty, and callers
// would wait at targets busier than others.
BOOST_DATA_TEST_CASE(an_idle_bucket_fills_again, kWaits, row) {
  TokenBucket bucket({.per_second = 1000, .burst = 4000});
  BOOST_REQUIRE(bucket.Take(4000, 0ms));

  BOOST_TEST(bucket.Fill(row.wait) == row.fill);
}

// The limits come with the first configuration. A bucket that were empty then
// would hold back an instance's first copies for no reason.
BOOST_AUTO_TEST_CASE(first_limits_start_a_full_bucket) {
  TokenBucket bucket(BucketLimits{});
  BOOST_TEST(bucket.Fill(0ms) == 0.0);

  bucket.SetLimits({.per_second = 10, .burst = 100});

  BOOST_TEST(bucket.Take(100, 0ms));
  bucket.SetLimits({.per_second = 10, .burst = 200});
  BOOST_TEST(!bucket.Take(1, 0ms));
}

}  // namespace
}  // namespace sassafrasdyke::common

/// The scores of rendezvous hashing.
#include "common/hash.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdint>
#include <limits>

namespace sassafrasdyke::common {
namespace {

// A score at either end of the hash's range that isn't a positive number would
// sort wrongly, and a few flows would meet two different owners.
BOOST_AUTO_TEST_CASE(scores_stay_finite_and_grow_with_the_hash) {
  const double least = RendezvousScore(0, 1.0);
  const double middle = RendezvousScore(std::uint64_t{1} << 63U, 1.0);
  const double greatest =
      RendezvousScore(std::numeric_limits<std::uint64_t>::max(), 1.0);

  BOOST_TEST(std::isfinite(greatest));
  BOOST_TEST(0.0 < least);
  BOOST_TEST(least < middle);
  BOOST_TEST(middle < greatest);
}

BOOST_AUTO_TEST_CASE(a_weight_sets_the_share_of_wins) {
  constexpr int kDraws = 20000;
  int wins = 0;
  for (std::uint64_t draw = 0; draw < kDraws; ++draw) {
    const double heavy = RendezvousScore(HashNumbers(draw, 1, 7), 3.0);
    const double light = RendezvousScore(HashNumbers(draw, 2, 7), 1.0);
    wins += heavy > light ? 1 : 0;
  }

  BOOST_TEST(wins > kDraws * 0.74);
  BOOST_TEST(wins < kDraws * 0.76);
}

}  // namespace
}  // namespace sassafrasdyke::common

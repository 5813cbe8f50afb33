/// Back-off between attempts.
#include "core/fleet/backoff.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

// The platform is down for an hour while hundreds of instances retry. Without a
// bound on the waits, some would keep the old configuration long after it is
// back; without jitter, all would return at the same moment.
BOOST_AUTO_TEST_CASE(waits_are_jittered_below_a_capped_bound) {
  Jitter jitter(1);
  Backoff backoff({.first = 100ms, .longest = 1000ms});
  const std::chrono::milliseconds bounds[] = {100ms, 200ms,  400ms,
                                              800ms, 1000ms, 1000ms};
  std::chrono::milliseconds least = 1000ms;
  std::chrono::milliseconds greatest = 0ms;

  for (int round = 0; round < 200; ++round) {
    for (const std::chrono::milliseconds bound : bounds) {
      const std::chrono::milliseconds wait = backoff.OnFailure(jitter);
      BOOST_TEST((wait >= 0ms && wait <= bound));
      least = std::min(least, wait);
      greatest = std::max(greatest, wait);
    }
    backoff.OnSuccess();
  }

  BOOST_TEST((least < 10ms));
  BOOST_TEST((greatest > 900ms));
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Tests when an instance reads the store in place of its readers.
#include "core/roster/reading_plan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <ostream>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kTick = 100ms;
constexpr std::size_t kMembers = 66;
/// The longest time that a call takes before it is given up.
constexpr milliseconds kSlowCall = 2000ms;
/// An answered call, and the time until its changes are in force.
constexpr milliseconds kCall = 100ms;

struct FollowerRow {
  const char* name;
  milliseconds known_within;  ///< The platform's bound for a change.
  /// The last digest of a peer comes so long after the last confirmation of the
  /// view.
  milliseconds last_digest;
  milliseconds slow_call;  ///< Time for a call that is slow or lost.
};

std::ostream& operator<<(std::ostream& out, const FollowerRow& row) {
  return out << row.name;
}

/// The age of the view at which a follower begins to read the store. Its ticks
/// come `phase` after the confirmation of the view.
milliseconds AgeAtReading(const FollowerRow& row, milliseconds phase,
                          std::uint64_t seed) {
  ReadingPlan plan(SyncLimitsFor(PropagationScale(row.known_within)), seed);
  constexpr milliseconds kConfirmedAt = 10s;
  for (milliseconds age = phase; age < 20s; age += kTick) {
    const milliseconds now = kConfirmedAt + age;
    if (age <= row.last_digest) {
      plan.OnDigest(now);
    }
    plan.OnTick(age, kMembers, now);
    if (plan.ReadingWithView({}, age, now) != StoreReading::kNone) {
      return age;
    }
  }
  return 20s;
}

void CheckReadsInTime(const FollowerRow& row) {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const milliseconds phase{static_cast<std::int64_t>(seed * 7 % 100)};
    const milliseconds in_force =
        AgeAtReading(row, phase, seed) + row.slow_call + kCall;
    BOOST_TEST(in_force.count() <= row.known_within.count());
  }
}

const FollowerRow kCutFollowers[] = {
    {"6 s, cut at the confirmation", 6s, 0ms, kSlowCall},
    {"6 s, cut after 0.5 s", 6s, 500ms, kSlowCall},
    {"6 s, cut after 1 s", 6s, 1000ms, kSlowCall},
    {"6 s, cut after 1.5 s", 6s, 1500ms, kSlowCall},
    {"6 s, cut after 2.2 s", 6s, 2200ms, kSlowCall},
    {"8 s, cut after 1 s", 8s, 1000ms, kSlowCall},
    {"8 s, cut after 2.2 s", 8s, 2200ms, kSlowCall},
    {"3 s, cut after 1 s", 3s, 1000ms, 0ms},
};

// Guards against an instance cut off from all peers that waits for them until a
// change is past its bound.
BOOST_DATA_TEST_CASE(a_cut_follower_reads_in_time, kCutFollowers, row) {
  CheckReadsInTime(row);
}

constexpr milliseconds kAlways = 20s;

const FollowerRow kUninformedFollowers[] = {
    {"1.5 s", 1500ms, kAlways, 0ms},   {"3 s", 3s, kAlways, 0ms},
    {"4 s", 4s, kAlways, 0ms},         {"5 s", 5s, kAlways, kSlowCall},
    {"6 s", 6s, kAlways, kSlowCall},   {"8 s", 8s, kAlways, kSlowCall},
    {"10 s", 10s, kAlways, kSlowCall},
};

// Guards against followers of dead readers that begin to read so late that a
// slow call ends past the bound.
BOOST_DATA_TEST_CASE(an_uninformed_follower_reads_in_time, kUninformedFollowers,
                     row) {
  CheckReadsInTime(row);
}

}  // namespace
}  // namespace sassafrasdyke::core

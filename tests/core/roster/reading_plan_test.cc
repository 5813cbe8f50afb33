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
/// A call that gets no answer is given up after this time.
constexpr milliseconds kLostCall = 2000ms;
/// An answered call, and the time until its changes are in force.
constexpr milliseconds kCall = 100ms;

struct FollowerRow {
  const char* name;
  milliseconds known_within;  ///< The platform's bound for a change.
  /// The last digest of a peer comes so long after the last confirmation of the
  /// view.
  milliseconds last_digest;
  milliseconds lost_call;  ///< Time for calls that get no answer.
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
        AgeAtReading(row, phase, seed) + row.lost_call + kCall;
    BOOST_TEST(in_force.count() <= row.known_within.count());
  }
}

const FollowerRow kCutFollowers[] = {
    {"6 s, cut at the confirmation", 6s, 0ms, kLostCall},
    {"6 s, cut after 0.5 s", 6s, 500ms, kLostCall},
    {"6 s, cut after 1 s", 6s, 1000ms, kLostCall},
    {"6 s, cut after 1.5 s", 6s, 1500ms, kLostCall},
    {"6 s, cut after 2.2 s", 6s, 2200ms, kLostCall},
    {"8 s, cut after 1 s", 8s, 1000ms, kLostCall},
    {"8 s, cut after 2.2 s", 8s, 2200ms, kLostCall},
    {"3 s, cut after 1 s", 3s, 1000ms, 0ms},
};

// Guards against an instance cut off from all peers that waits for them until a
// change is past its bound.
BOOST_DATA_TEST_CASE(a_cut_follower_reads_in_time, kCutFollowers, row) {
  CheckReadsInTime(row);
}

}  // namespace
}  // namespace sassafrasdyke::core

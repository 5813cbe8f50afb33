/// When an instance holds its lease.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/lease_keeper.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kPeers = 3;
constexpr std::chrono::milliseconds kTick = 100ms;

/// Calls the keeper each tick from `from` to `to`, as the fleet does, without
/// any answers.
Lease RunQuiet(LeaseKeeper& keeper, std::chrono::milliseconds from,
               std::chrono::milliseconds to, std::size_t peers = kPeers) {
  Lease lease = keeper.Current();
  for (auto now = from; now <= to; now += kTick) {
    keeper.DetectPause(now, FleetPolicy{});
    lease = keeper.Evaluate(now, FleetPolicy{}, peers);
  }
  return lease;
}

LeaseKeeper HeldAt(std::chrono::milliseconds now) {
  LeaseKeeper keeper;
  keeper.DetectPause(now, FleetPolicy{});
  keeper.OnPeerAnswer(now, true);
  keeper.Evaluate(now, FleetPolicy{}, kPeers);
  return keeper;
}

struct Silence {
  std::chrono::milliseconds length;
  std::size_t peers;
  Lease lease;
};

std::ostream& operator<<(std::ostream& out, const Silence& row) {
  return out << row.length.count() << " ms, " << row.peers << " peers";
}

const Silence kSilences[] = {
    {4900ms, 3, Lease::kHeld},   {5100ms, 3, Lease::kStale},
    {8900ms, 3, Lease::kStale},  {9500ms, 3, Lease::kCutOff},
    {5100ms, 0, Lease::kCutOff},
};

// All links of an instance break, and it can't know whether others took over.
// It must first stop placing flows, and serve alone only after all peers had
// time to answer.
BOOST_DATA_TEST_CASE(silence_ends_the_lease, kSilences, row) {
  LeaseKeeper keeper = HeldAt(0ms);

  BOOST_TEST((RunQuiet(keeper, kTick, row.length, row.peers) == row.lease));
}

// The process is paused and resumed. Answers to requests from before the pause
// are still in its socket buffers. If one renewed the lease, the process would
// place flows that another instance owns by now.
BOOST_AUTO_TEST_CASE(only_answers_requested_after_a_pause_count) {
  LeaseKeeper keeper = HeldAt(0ms);
  BOOST_TEST(keeper.DetectPause(3000ms, FleetPolicy{}));
  BOOST_TEST((keeper.Current() == Lease::kStale));

  keeper.OnPeerAnswer(100ms, true);
  keeper.OnPlatformAnswer(3000ms);
  keeper.OnPlatformAnswer(3010ms);
  BOOST_TEST((keeper.Evaluate(3000ms, FleetPolicy{}, kPeers) == Lease::kStale));

  keeper.OnPeerAnswer(3100ms, true);
  BOOST_TEST((keeper.Evaluate(3200ms, FleetPolicy{}, kPeers) == Lease::kHeld));
}

// The process resumes while its peers have a newer configuration. It must get
// that first, but a peer that never sends it must not block it for good.
BOOST_AUTO_TEST_CASE(catching_up_comes_first_and_is_bounded) {
  LeaseKeeper keeper = HeldAt(0ms);
  keeper.DetectPause(3000ms, FleetPolicy{});

  keeper.OnPeerAnswer(3000ms, false);
  BOOST_TEST((RunQuiet(keeper, 3000ms, 7900ms) == Lease::kStale));
  BOOST_TEST((RunQuiet(keeper, 8000ms, 8200ms) == Lease::kHeld));
}

// With a change each second, some peer is always a revision ahead. That alone
// must not end a held lease.
BOOST_AUTO_TEST_CASE(being_a_revision_behind_keeps_a_held_lease) {
  LeaseKeeper keeper = HeldAt(0ms);
  Lease lease = Lease::kHeld;
  for (auto now = kTick; now < 20s; now += kTick) {
    keeper.DetectPause(now, FleetPolicy{});
    keeper.OnPeerAnswer(now, false);
    lease = keeper.Evaluate(now, FleetPolicy{}, kPeers);
  }

  BOOST_TEST((lease == Lease::kHeld));
}

}  // namespace
}  // namespace sassafrasdyke::core

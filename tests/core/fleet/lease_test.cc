/// When an instance may act on what it knows.
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

/// Calls the keeper each tick from `from` to `to`, as the fleet does.
Lease RunQuiet(LeaseKeeper& keeper, std::chrono::milliseconds from,
               std::chrono::milliseconds to, std::size_t peers = kPeers) {
  Lease lease = keeper.Current();
  for (auto now = from; now <= to; now += kTick) {
    keeper.Observe(now, FleetPolicy{});
    lease = keeper.Evaluate(now, FleetPolicy{}, peers);
  }
  return lease;
}

LeaseKeeper HeldAt(std::chrono::milliseconds now) {
  LeaseKeeper keeper;
  keeper.Observe(now, FleetPolicy{});
  keeper.OnPeerWord(now, true);
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

// All links of an instance break and it doesn't know whether others took over.
// It must stop placing flows first and serve alone only when nobody answers.
BOOST_DATA_TEST_CASE(silence_ends_the_lease, kSilences, row) {
  LeaseKeeper keeper = HeldAt(0ms);

  BOOST_TEST((RunQuiet(keeper, kTick, row.length, row.peers) == row.lease));
}

// The process is stopped and woken. Answers to questions from before the pause
// are still in its sockets; believing one, it would place flows that another
// instance owns by now.
BOOST_AUTO_TEST_CASE(only_words_asked_for_after_a_pause_count) {
  LeaseKeeper keeper = HeldAt(0ms);
  BOOST_TEST(keeper.Observe(3000ms, FleetPolicy{}));
  BOOST_TEST((keeper.Current() == Lease::kStale));

  keeper.OnPeerWord(100ms, true);
  keeper.OnPlatformWord(3000ms);
  keeper.OnPlatformWord(3010ms);
  BOOST_TEST((keeper.Evaluate(3000ms, FleetPolicy{}, kPeers) == Lease::kStale));

  keeper.OnPeerWord(3100ms, true);
  BOOST_TEST((keeper.Evaluate(3200ms, FleetPolicy{}, kPeers) == Lease::kHeld));
}

// It wakes while its peers have a newer configuration. It must take that first,
// but a peer that never sends it must not keep it from working for good.
BOOST_AUTO_TEST_CASE(catching_up_comes_first_and_is_bounded) {
  LeaseKeeper keeper = HeldAt(0ms);
  keeper.Observe(3000ms, FleetPolicy{});

  keeper.OnPeerWord(3000ms, false);
  BOOST_TEST((RunQuiet(keeper, 3000ms, 7900ms) == Lease::kStale));
  BOOST_TEST((RunQuiet(keeper, 8000ms, 8200ms) == Lease::kHeld));
}

// Changes come each second, so some peer is always a revision ahead. That alone
// must not end a lease that is held.
BOOST_AUTO_TEST_CASE(being_a_revision_behind_keeps_a_held_lease) {
  LeaseKeeper keeper = HeldAt(0ms);
  Lease lease = Lease::kHeld;
  for (auto now = kTick; now < 20s; now += kTick) {
    keeper.Observe(now, FleetPolicy{});
    keeper.OnPeerWord(now, false);
    lease = keeper.Evaluate(now, FleetPolicy{}, kPeers);
  }

  BOOST_TEST((lease == Lease::kHeld));
}

}  // namespace
}  // namespace sassafrasdyke::core

/// When a target counts as silent.
#include "core/steering/target_watch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr TargetIndex kTarget{1};

struct Trials {
  std::string name;
  std::vector<ProbeOutcome> outcomes;
  bool silent;
};

std::ostream& operator<<(std::ostream& out, const Trials& row) {
  return out << row.name;
}

const Trials kTrials[] = {
    {"one lost packet", {ProbeOutcome::kSilent}, false},
    {"two in a row", {ProbeOutcome::kSilent, ProbeOutcome::kSilent}, true},
    {"nobody listens", {ProbeOutcome::kRefused}, true},
    {"answers between",
     {ProbeOutcome::kSilent, ProbeOutcome::kAnswered, ProbeOutcome::kSilent},
     false},
    {"the own link is full",
     {ProbeOutcome::kUnclear, ProbeOutcome::kUnclear, ProbeOutcome::kUnclear},
     false},
    {"unclear between",
     {ProbeOutcome::kSilent, ProbeOutcome::kUnclear, ProbeOutcome::kSilent},
     false},
    {"back again",
     {ProbeOutcome::kSilent, ProbeOutcome::kSilent, ProbeOutcome::kAnswered},
     false},
};

// A slow target leaves requests unanswered for a while, links lose packets, and
// an instance whose own link is full gets no answer in time from anybody. None
// of these may end flows: only a target that takes no connection while another
// does, or whose machine says that nobody listens, is silent.
BOOST_DATA_TEST_CASE(trials_decide_who_is_silent, kTrials, row) {
  TargetWatch watch;
  watch.OnMissed(kTarget, 1000ms);
  auto now = 1000ms;
  for (const ProbeOutcome outcome : row.outcomes) {
    now += 300ms;
    watch.OnProbed(kTarget, outcome, now, now + 200ms);
  }

  BOOST_TEST(watch.Silent(kTarget) == row.silent);
}

// A trial fails while the target's answer to a client is already under way.
BOOST_AUTO_TEST_CASE(life_seen_during_a_trial_outweighs_it) {
  TargetWatch watch;
  watch.OnMissed(kTarget, 1000ms);
  watch.OnProbed(kTarget, ProbeOutcome::kSilent, 1000ms, 1200ms);
  watch.OnAnswered(kTarget, 1400ms);
  watch.OnProbed(kTarget, ProbeOutcome::kSilent, 1300ms, 1500ms);

  BOOST_TEST(!watch.Silent(kTarget));
}

// The process stood still for seconds. The answers that it has not seen are in
// its sockets; what it sent before says nothing.
BOOST_AUTO_TEST_CASE(a_pause_clears_what_seemed_unanswered) {
  TargetWatch watch;
  watch.OnSent(kTarget, 1000ms);
  watch.OnPause(5000ms);
  watch.OnSent(kTarget, 5001ms);

  BOOST_TEST(watch.TakeProbes(5001ms).empty());
}

BOOST_AUTO_TEST_CASE(the_control_is_the_target_that_showed_life_last) {
  TargetWatch watch;
  watch.OnAnswered({2}, 1000ms);
  watch.OnAnswered({3}, 1200ms);
  watch.OnAnswered({1}, 1300ms);

  BOOST_TEST((watch.LastAlive({1}, 1000ms) == TargetIndex{3}));
  BOOST_TEST(!watch.LastAlive({1}, 1250ms).has_value());
}

// Each trial costs a target a handshake, and a slow target is suspected again
// and again.
BOOST_AUTO_TEST_CASE(trials_are_few) {
  TargetWatch watch;
  std::size_t trials = 0;
  for (auto now = 0ms; now < 10s; now += 10ms) {
    watch.OnSent(kTarget, now);
    for (const TargetIndex target : watch.TakeProbes(now)) {
      ++trials;
      watch.OnProbed(target, ProbeOutcome::kAnswered, now, now + 1ms);
    }
  }
  BOOST_TEST(trials <= 10U);
}

// Targets leave all day. Each is tried once a second until it is clear that it
// has ended, and not more often.
BOOST_AUTO_TEST_CASE(an_unpublished_target_is_tried_once_a_second) {
  TargetWatch watch;
  watch.OnUnpublished(kTarget, 0ms);
  std::size_t trials = 0;
  for (auto now = 0ms; now < 10s; now += 100ms) {
    for (const TargetIndex target : watch.TakeProbes(now)) {
      ++trials;
      watch.OnProbed(target, ProbeOutcome::kUnclear, now, now);
    }
  }
  BOOST_TEST(trials == 9U);
}

struct Leaving {
  std::chrono::milliseconds answered_at;
  std::chrono::milliseconds tried_at;
  bool silent;
};

std::ostream& operator<<(std::ostream& out, const Leaving& row) {
  return out << row.answered_at.count() << ", " << row.tried_at.count();
}

const Leaving kLeaving[] = {
    {4900ms, 5100ms, false},  // Its entry has just gone.
    {5200ms, 6100ms, false},  // It has answered a client since.
    {4900ms, 6100ms, true},
};

// A target that leaves closes its listener and is unpublished a moment before
// it has served its last flow. A refused trial in that moment must not reset
// the flows: a feed would be cut by a planned change.
BOOST_DATA_TEST_CASE(a_leaving_target_serves_to_the_end, kLeaving, row) {
  TargetWatch watch;
  watch.OnLeaving(kTarget, 1000ms);
  watch.OnUnpublished(kTarget, 5000ms);
  watch.OnAnswered(kTarget, row.answered_at);
  watch.OnProbed(kTarget, ProbeOutcome::kRefused, row.tried_at,
                 row.tried_at + 1ms);

  BOOST_TEST(watch.Silent(kTarget) == row.silent);
}

// A target whose entry had only lapsed is published again, and crashes later.
BOOST_AUTO_TEST_CASE(a_target_that_serves_again_does_not_linger) {
  TargetWatch watch;
  watch.OnUnpublished(kTarget, 1000ms);
  watch.OnServing(kTarget);
  watch.OnProbed(kTarget, ProbeOutcome::kRefused, 1500ms, 1501ms);

  BOOST_TEST(watch.Silent(kTarget));
}

struct Miss {
  unsigned misses;
  std::chrono::milliseconds until;
};

std::ostream& operator<<(std::ostream& out, const Miss& row) {
  return out << row.misses;
}

const Miss kMisses[] = {{1, 500ms}, {2, 1000ms}, {5, 8000ms}, {50, 8000ms}};

BOOST_DATA_TEST_CASE(suspicion_lasts_longer_with_each_miss, kMisses, row) {
  TargetWatch watch;
  for (unsigned i = 0; i < row.misses; ++i) {
    watch.OnMissed(kTarget, 0ms);
  }
  BOOST_TEST(watch.Suspected(kTarget, row.until - 1ms));
  BOOST_TEST(!watch.Suspected(kTarget, row.until));
}

}  // namespace
}  // namespace sassafrasdyke::core

/// When targets are probed and count as suspected or silent.
#include "core/steering/target_watch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr TargetIndex kTarget{1};

struct ProbeSequence {
  std::string name;
  std::vector<ProbeOutcome> outcomes;
  bool silent;
};

std::ostream& operator<<(std::ostream& out, const ProbeSequence& row) {
  return out << row.name;
}

const ProbeSequence kProbeSequences[] = {
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
// an instance whose own link is full gets no answer in time from any target.
// None of these may end flows: only a target that accepts no connection while
// another does, or whose host refuses the connection, is silent.
BOOST_DATA_TEST_CASE(probes_decide_which_targets_are_silent, kProbeSequences,
                     row) {
  TargetWatch watch;
  watch.OnSynUnanswered(kTarget, 1000ms);
  auto now = 1000ms;
  for (const ProbeOutcome outcome : row.outcomes) {
    now += 300ms;
    watch.OnProbed(kTarget, outcome, now, now + 200ms);
  }

  BOOST_TEST(watch.Silent(kTarget) == row.silent);
}

// A probe fails though the target answers a client meanwhile.
BOOST_AUTO_TEST_CASE(an_answer_during_a_probe_overrides_its_failure) {
  TargetWatch watch;
  watch.OnSynUnanswered(kTarget, 1000ms);
  watch.OnProbed(kTarget, ProbeOutcome::kSilent, 1000ms, 1200ms);
  watch.OnAnswered(kTarget, 1400ms);
  watch.OnProbed(kTarget, ProbeOutcome::kSilent, 1300ms, 1500ms);

  BOOST_TEST(!watch.Silent(kTarget));
}

// The process was paused for seconds. Answers that it has not seen are still in
// its sockets; packets that it sent before are no evidence against the target.
BOOST_AUTO_TEST_CASE(a_pause_clears_unanswered_packets) {
  TargetWatch watch;
  watch.OnSent(kTarget, 1000ms);
  watch.OnPause(5000ms);
  watch.OnSent(kTarget, 5001ms);

  BOOST_TEST(watch.TakeProbes(5001ms).empty());
}

BOOST_AUTO_TEST_CASE(the_control_is_the_target_that_answered_last) {
  TargetWatch watch;
  watch.OnAnswered({2}, 1000ms);
  watch.OnAnswered({3}, 1200ms);
  watch.OnAnswered({1}, 1300ms);

  BOOST_TEST((watch.LastAlive({1}, 1000ms) == TargetIndex{3}));
  BOOST_TEST(!watch.LastAlive({1}, 1250ms).has_value());
}

// Each probe costs a target a handshake, and a slow target is suspected again
// and again.
BOOST_AUTO_TEST_CASE(probes_are_rate_limited) {
  TargetWatch watch;
  std::size_t probes = 0;
  for (auto now = 0ms; now < 10s; now += 10ms) {
    watch.OnSent(kTarget, now);
    for (const TargetIndex target : watch.TakeProbes(now)) {
      ++probes;
      watch.OnProbed(target, ProbeOutcome::kAnswered, now, now + 1ms);
    }
  }
  BOOST_TEST(probes <= 10U);
}

// Targets leave all day. Each is probed only once a second until it is certain
// that it has ended.
BOOST_AUTO_TEST_CASE(an_unpublished_target_is_probed_once_a_second) {
  TargetWatch watch;
  watch.OnUnpublished(kTarget, 0ms);
  std::size_t probes = 0;
  for (auto now = 0ms; now < 10s; now += 100ms) {
    for (const TargetIndex target : watch.TakeProbes(now)) {
      ++probes;
      watch.OnProbed(target, ProbeOutcome::kUnclear, now, now);
    }
  }
  BOOST_TEST(probes == 9U);
}

struct Leaving {
  std::chrono::milliseconds answered_at;
  std::chrono::milliseconds probed_at;
  bool silent;
};

std::ostream& operator<<(std::ostream& out, const Leaving& row) {
  return out << row.answered_at.count() << ", " << row.probed_at.count();
}

const Leaving kLeaving[] = {
    {4900ms, 5100ms, false},  // It has just been unpublished.
    {5200ms, 6100ms, false},  // It has answered a client since.
    {4900ms, 6100ms, true},
};

// A leaving target closes its listener and is unpublished a moment before it
// has served its last flow. A refused probe in that moment must not reset its
// flows: a planned change would interrupt a feed.
BOOST_DATA_TEST_CASE(a_leaving_target_keeps_its_flows_until_it_has_ended,
                     kLeaving, row) {
  TargetWatch watch;
  watch.OnLeaving(kTarget, 1000ms);
  watch.OnUnpublished(kTarget, 5000ms);
  watch.OnAnswered(kTarget, row.answered_at);
  watch.OnProbed(kTarget, ProbeOutcome::kRefused, row.probed_at,
                 row.probed_at + 1ms);

  BOOST_TEST(watch.Silent(kTarget) == row.silent);
}

// A target whose entry had only lapsed is published again, and crashes later.
BOOST_AUTO_TEST_CASE(a_republished_target_has_no_grace_period) {
  TargetWatch watch;
  watch.OnUnpublished(kTarget, 1000ms);
  watch.OnServing(kTarget);
  watch.OnProbed(kTarget, ProbeOutcome::kRefused, 1500ms, 1501ms);

  BOOST_TEST(watch.Silent(kTarget));
}

// Guards against a new start of a target that gets no flows for a second, as
// its former start was silent.
BOOST_AUTO_TEST_CASE(
    a_silent_target_that_is_published_again_is_probed_at_once) {
  TargetWatch watch;
  watch.OnUnpublished(kTarget, 0ms);
  watch.OnProbed(kTarget, ProbeOutcome::kRefused, 1500ms, 1501ms);
  BOOST_REQUIRE(watch.Silent(kTarget));
  BOOST_TEST(watch.TakeProbes(1600ms).empty());

  watch.OnServing(kTarget);

  BOOST_TEST(watch.TakeProbes(1600ms).size() == 1U);
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
    watch.OnSynUnanswered(kTarget, 0ms);
  }
  BOOST_TEST(watch.Suspected(kTarget, row.until - 1ms));
  BOOST_TEST(!watch.Suspected(kTarget, row.until));
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Which targets count as outliers, and what new flows they get.
#include "core/health/outlier_detector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>
#include <string>
#include <vector>

#include "core/health/health_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

constexpr std::size_t kTargets = 10;

/// Requests to a target, as one instance sees them.
struct Counts {
  int requests{0};
  int failures{0};
  Time time{30ms};
};

/// The first target compared with the others.
struct Comparison {
  std::string name;
  Counts own;           ///< At the first target.
  Counts own_others;    ///< At each of the others.
  Counts peers;         ///< As each peer reports it of the first; none without.
  std::uint16_t count;  ///< Number of peers.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Comparison& row) {
  return out << row.name;
}

const Comparison kComparisons[] = {
    {"all is well", {30, 0}, {30, 0}, {}, 5, OutlierState::kHealthy},
    {"slow", {30, 0, 100ms}, {30, 0}, {}, 0, OutlierState::kSlow},
    {"not slow enough", {30, 0, 85ms}, {30, 0}, {}, 0, OutlierState::kHealthy},
    {"too few slow answers",
     {19, 0, 300ms},
     {30, 0},
     {},
     0,
     OutlierState::kHealthy},
    {"slow as a whole",
     {30, 0, 900ms},
     {30, 0, 900ms},
     {},
     0,
     OutlierState::kHealthy},
    {"failing", {30, 10}, {30, 0}, {}, 0, OutlierState::kFailing},
    {"under a third fails", {30, 9}, {30, 0}, {}, 0, OutlierState::kHealthy},
    {"too few requests", {19, 19}, {30, 0}, {}, 0, OutlierState::kHealthy},
    {"three times the others' failures",
     {40, 22},
     {40, 8},
     {},
     0,
     OutlierState::kHealthy},
    {"slow by all counts",
     {2, 0, 300ms},
     {2, 0},
     {4, 0, 300ms},
     5,
     OutlierState::kSlow},
    {"failing by all counts",
     {2, 1},
     {2, 0},
     {4, 2},
     6,
     OutlierState::kFailing},
    {"one reports failures, nobody saw more",
     {0, 0},
     {2, 0},
     {60, 60},
     1,
     OutlierState::kFailing},
    {"one reports failures, an answer was seen",
     {2, 0},
     {2, 0},
     {60, 60},
     1,
     OutlierState::kHealthy},
    {"one reports slowness, an answer was seen",
     {2, 0},
     {2, 0},
     {60, 0, 900ms},
     1,
     OutlierState::kHealthy},
    {"one sees more failures than it can",
     {1500, 300},
     {30, 0},
     {1'000'000, 1'000'000},
     1,
     OutlierState::kHealthy},
    {"impossible counts",
     {2, 0},
     {2, 0},
     {1, 1'000'000},
     6,
     OutlierState::kHealthy},
};

BOOST_DATA_TEST_CASE(targets_are_compared_with_their_service, kComparisons,
                     row) {
  HealthScene scene(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    const Counts& counts = i == 0 ? row.own : row.own_others;
    scene.Own(i, counts.requests, counts.failures, counts.time);
  }
  scene.Settle();
  for (std::uint16_t peer = 0; peer < row.count; ++peer) {
    std::vector<TargetObservation> seen;
    if (row.peers.requests > 0) {
      seen.push_back(HealthScene::Seen(
          0, static_cast<std::uint32_t>(row.peers.requests),
          static_cast<std::uint32_t>(row.peers.failures), row.peers.time));
    }
    scene.Report(peer, seen);
    scene.Report(peer, seen);  // Digests may arrive twice.
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
  for (std::size_t i = 1; i < kTargets; ++i) {
    BOOST_TEST(scene.Weight(i) == 1.0);
  }
  const bool healthy = row.state == OutlierState::kHealthy;
  BOOST_TEST((scene.Weight(0) == 1.0) == healthy);
  BOOST_TEST(scene.detector.TakeChanges().empty() == healthy);
}

struct OthersFail {
  std::uint32_t failures;  ///< Of 40 requests to each other target.
  OutlierState state;      ///< Of one at which 20 fail.
};

std::ostream& operator<<(std::ostream& out, const OthersFail& row) {
  return out << row.failures;
}

const OthersFail kOthersFail[] = {{0, OutlierState::kFailing},
                                  {6, OutlierState::kFailing},
                                  {7, OutlierState::kHealthy},
                                  {20, OutlierState::kHealthy}};

// Guards against ejections in a service that fails as a whole, and of the one
// that fails a little more than the others.
BOOST_DATA_TEST_CASE(failures_are_compared_with_the_median, kOthersFail, row) {
  HealthScene scene(kMaxTargetObservations);
  for (std::uint16_t peer = 0; peer < 3; ++peer) {
    std::vector<TargetObservation> seen{HealthScene::Seen(0, 40, 20, 30ms)};
    for (std::size_t i = 1; i < kMaxTargetObservations; ++i) {
      seen.push_back(HealthScene::Seen(i, 40, row.failures, 30ms));
    }
    scene.Report(peer, seen);
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
  BOOST_TEST(scene.State(1) == OutlierState::kHealthy);
}

// Guards against a service with long requests that is compared with others.
BOOST_AUTO_TEST_CASE(long_requests_of_a_service_are_not_slow) {
  HealthScene scene(kTargets, 0.34, 3);
  for (std::size_t i = 0; i < kTargets; ++i) {
    scene.Own(i, 30, 0, i < kTargets - 3 ? 30ms : 900ms);
  }
  scene.Settle();
  scene.Tick();

  BOOST_TEST(scene.detector.CountByState().at("healthy") == kTargets);
}

// Guards against rare failures that count as many, because only those who see
// some report the target.
BOOST_AUTO_TEST_CASE(instances_that_report_nothing_count_as_well) {
  HealthScene scene(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    scene.Own(i, 4, 0, 30ms);
  }
  scene.Settle();
  for (std::uint16_t peer = 0; peer < 26; ++peer) {
    const auto seen = HealthScene::Seen(0, 4, 2, 30ms);
    scene.Report(
        peer, peer < 8 ? std::vector{seen} : std::vector<TargetObservation>());
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

struct Ignored {
  std::string name;
  std::string domain;
  Time age;  ///< Of the reports when they are used.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Ignored& row) {
  return out << row.name;
}

const Ignored kIgnored[] = {
    {"own domain", "north", 0ms, OutlierState::kFailing},
    {"another domain", "south", 0ms, OutlierState::kHealthy},
    {"recent", "north", 2900ms, OutlierState::kFailing},
    {"outdated", "north", 3100ms, OutlierState::kHealthy}};

// Guards against observations that were lost or are outdated, and those of
// instances that see other targets by other ways.
BOOST_DATA_TEST_CASE(reports_of_the_domain_count_for_three_seconds, kIgnored,
                     row) {
  HealthScene scene(kTargets);
  for (std::uint16_t peer = 0; peer < 5; ++peer) {
    scene.Report(peer, {HealthScene::Seen(0, 10, 5, 0ms)}, row.domain);
  }
  scene.now += row.age;
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
}

struct Share {
  double max_ejected;
  std::size_t targets;
  std::size_t failing;
  std::size_t ejected;
};

std::ostream& operator<<(std::ostream& out, const Share& row) {
  return out << row.max_ejected << " of " << row.targets;
}

const Share kShares[] = {{0.34, 10, 4, 3}, {0.34, 3, 1, 1}, {0.34, 2, 1, 0},
                         {0.0, 10, 4, 0},  {1.0, 10, 4, 4}, {0.2, 10, 1, 1}};

BOOST_DATA_TEST_CASE(a_part_of_the_targets_is_ejected_at_most, kShares, row) {
  HealthScene scene(row.targets, row.max_ejected);
  for (std::size_t i = 0; i < row.targets; ++i) {
    scene.Own(i, 40, i < row.failing ? 30 : 0, 30ms);
  }
  std::size_t ejected = 0;
  scene.Settle();
  scene.Tick();
  for (std::size_t i = 0; i < row.targets; ++i) {
    ejected += scene.Weight(i) == 0 ? 1 : 0;
  }

  BOOST_TEST(ejected == row.ejected);
}

/// Plays a failing target's return: lengths of its ejections while every
/// request fails until `recovers`, and what happens then.
struct ReturnPlay {
  std::vector<Time> ejections;
  int trials{0};
  std::optional<Time> back;
};

ReturnPlay PlayReturn(Time recovers, Time length) {
  HealthScene scene(kTargets);
  scene.load.instances = 1;
  ReturnPlay play;
  Time ejected_at{0};  ///< 0: not ejected now.
  const Time start = scene.now;
  for (; scene.now < start + length; scene.now += 100ms) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      const double weight = scene.Weight(i);
      if (weight == 0) {
        continue;
      }
      const bool fails = i == 0 && scene.now < start + recovers;
      const bool trial =
          scene.State(i) == OutlierState::kReturning && weight == 1.0;
      play.trials += trial ? 1 : 0;
      const int requests = trial ? 1 : 2;
      scene.Own(i, requests, fails ? requests : 0, 30ms);
      BOOST_TEST((!trial || scene.Weight(i) < 1.0));
    }
    scene.Tick();
    const bool ejected = scene.State(0) == OutlierState::kFailing;
    if (ejected && ejected_at == 0ms) {
      ejected_at = scene.now;
    } else if (!ejected && ejected_at > 0ms) {
      play.ejections.push_back(scene.now - ejected_at);
      ejected_at = 0ms;
    }
    for (const HealthChange& change : scene.detector.TakeChanges()) {
      if (change.event == HealthEvent::kBack) {
        play.back = scene.now - start;
      }
    }
  }
  return play;
}

// Guards against a target that is given up for good, or tried with many flows
// while it still fails.
BOOST_AUTO_TEST_CASE(ejections_double_and_end_with_trials) {
  const ReturnPlay failing = PlayReturn(1h, 70s);
  const std::vector<Time> lengths{2s, 4s, 8s, 16s, 16s};
  BOOST_REQUIRE(failing.ejections.size() >= 4U);
  for (std::size_t i = 0; i < failing.ejections.size(); ++i) {
    BOOST_TEST(
        (failing.ejections[i] == lengths.at(std::min<std::size_t>(i, 4))));
  }
  BOOST_TEST(failing.trials <= 15);
  BOOST_TEST(!failing.back.has_value());

  const ReturnPlay recovered = PlayReturn(2s, 15s);
  BOOST_TEST(recovered.ejections.size() == 1U);
  BOOST_REQUIRE(recovered.back.has_value());
  BOOST_TEST((*recovered.back <= 11s));
}

// Guards against a slow target that returns as soon as it gets too few flows to
// be measured, and against one that stays slow for ever.
BOOST_AUTO_TEST_CASE(a_slow_target_stays_so_until_it_is_faster) {
  HealthScene scene(kTargets);
  bool was_slow = false;
  for (int tick = 0; tick < 130; ++tick) {
    const Time time = tick < 60 ? 300ms : 30ms;
    for (std::size_t i = 1; i < kTargets; ++i) {
      scene.Own(i, 2, 0, 30ms);
    }
    const bool gets_one = scene.Weight(0) == 1.0 || tick % 3 == 0;
    scene.Own(0, gets_one ? 2 : 0, 0, time);
    scene.Tick();
    scene.now += 100ms;
    BOOST_TEST((tick < 20 || tick >= 60 || scene.Weight(0) < 0.15));
    was_slow = was_slow || scene.State(0) == OutlierState::kSlow;
  }

  BOOST_TEST(was_slow);
  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

struct Silence {
  std::string name;
  std::vector<ProbeOutcome> own_probes;
  bool answers;  ///< To a client, after the report.
  OutlierState at_first;
  OutlierState later;  ///< 3.5 s after the last report.
};

std::ostream& operator<<(std::ostream& out, const Silence& row) {
  return out << row.name;
}

const Silence kSilences[] = {
    {"reported", {}, false, OutlierState::kSilent, OutlierState::kHealthy},
    {"own probe answered",
     {ProbeOutcome::kAnswered},
     false,
     OutlierState::kHealthy,
     OutlierState::kHealthy},
    {"a client is answered",
     {},
     true,
     OutlierState::kHealthy,
     OutlierState::kHealthy},
    {"confirmed",
     {ProbeOutcome::kRefused},
     false,
     OutlierState::kSilent,
     OutlierState::kSilent},
};

// Guards against silent targets that each instance has to find for itself, and
// against reports that keep flows from a target that answers.
BOOST_DATA_TEST_CASE(reported_silence_is_probed_at_once, kSilences, row) {
  HealthScene scene(kTargets);
  TargetObservation silent = HealthScene::Seen(0, 0, 0, 0ms);
  silent.silent = true;
  scene.Report(1, {silent});
  scene.Tick();
  const TargetIndex target = scene.indexes.front();
  BOOST_TEST((scene.watch.TakeProbes(scene.now) == std::vector{target}));
  BOOST_TEST(scene.Weight(0) == 0.0);
  for (const ProbeOutcome outcome : row.own_probes) {
    scene.watch.OnProbed(target, outcome, scene.now, scene.now + 1ms);
  }
  if (row.answers) {
    scene.watch.OnAnswered(target, scene.now + 1ms);
  }
  scene.now += 100ms;
  scene.Tick();
  BOOST_TEST(scene.State(0) == row.at_first);
  BOOST_TEST(!scene.detector.TakeUrgent().has_value());
  scene.now += 3500ms;
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.later);
}

// Guards against a flood of probes by an instance that repeats its report.
BOOST_AUTO_TEST_CASE(reports_cost_one_probe_a_second) {
  HealthScene scene(kTargets);
  TargetObservation silent = HealthScene::Seen(0, 0, 0, 0ms);
  silent.silent = true;
  std::size_t probes = 0;
  const Time end = scene.now + 5s;
  for (; scene.now < end; scene.now += 100ms) {
    scene.Report(1, {silent});
    scene.Tick();
    for (const TargetIndex target : scene.watch.TakeProbes(scene.now)) {
      ++probes;
      scene.watch.OnProbed(target, ProbeOutcome::kAnswered, scene.now,
                           scene.now + 1ms);
    }
  }

  BOOST_TEST(probes <= 5U);
  BOOST_TEST(scene.Weight(0) == 1.0);
}

struct Decisions {
  std::string name;
  double weight;
  Counts own;
  std::uint16_t reporters;
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Decisions& row) {
  return out << row.name;
}

const Decisions kDecisions[] = {
    {"an instance that has just started",
     0.0,
     {0, 0},
     1,
     OutlierState::kFailing},
    {"and of a slow target", 0.1, {0, 0}, 1, OutlierState::kSlow},
    {"one says so, an answer was seen", 0.0, {1, 0}, 1, OutlierState::kHealthy},
    {"one says so, a failure was seen", 0.0, {2, 1}, 1, OutlierState::kFailing},
    {"one says so, one failure of many was seen",
     0.0,
     {30, 1},
     1,
     OutlierState::kHealthy},
    {"two say so", 0.0, {1, 0}, 2, OutlierState::kFailing},
    {"nobody says so", 0.0, {1, 0}, 0, OutlierState::kHealthy}};

// Guards against an instance that has just started and sends flows to every
// target until it has seen failures itself, and against false reports of
// a single instance.
BOOST_DATA_TEST_CASE(decisions_of_others_are_adopted, kDecisions, row) {
  HealthScene scene(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    scene.Own(i, i == 0 ? row.own.requests : 1, i == 0 ? row.own.failures : 0,
              30ms);
  }
  scene.Settle();
  TargetObservation reported = HealthScene::Seen(0, 0, 0, 0ms);
  reported.weight = row.weight;
  for (std::uint16_t peer = 0; peer < row.reporters; ++peer) {
    scene.Report(peer, {reported});
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
}

// Guards against two instances that keep a target ejected by repeating each
// other's decision.
BOOST_AUTO_TEST_CASE(a_decision_ejects_once) {
  HealthScene scene(kTargets);
  TargetObservation reported = HealthScene::Seen(0, 0, 0, 0ms);
  reported.weight = 0;
  int ejections = 0;
  for (int tick = 0; tick < 150; ++tick) {
    reported.age = tick * 100ms;
    scene.Report(1, {reported});
    scene.Report(2, {reported});
    scene.Tick();
    scene.now += 100ms;
    for (const HealthChange& change : scene.detector.TakeChanges()) {
      ejections += change.event == HealthEvent::kEjected ? 1 : 0;
    }
  }

  BOOST_TEST(ejections == 1);
  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

// Guards against values that no instance can have measured.
BOOST_AUTO_TEST_CASE(senseless_reports_change_nothing) {
  HealthScene scene(kTargets);
  TargetObservation odd = HealthScene::Seen(0, 1, 0, -5ms);
  odd.weight = std::numeric_limits<double>::quiet_NaN();
  odd.age = -5ms;
  TargetObservation unknown = HealthScene::Seen(77, 200, 200, 0ms);
  for (std::uint16_t peer = 0; peer < 4; ++peer) {
    scene.Report(peer, {odd, unknown});
  }
  scene.Tick();

  BOOST_TEST(scene.Weight(0) == 1.0);
  BOOST_TEST(scene.detector.CountByState().at("healthy") == kTargets);
}

// Guards against news that wait for the next digest, and against every instance
// repeating what one has reported.
BOOST_AUTO_TEST_CASE(news_are_urgent_for_who_finds_them) {
  HealthScene scene(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    scene.Own(i, 2, i == 0 ? 1 : 0, 30ms);
  }
  scene.Tick();
  BOOST_TEST((scene.detector.TakeUrgent() == UrgentReceivers::kReaders));
  scene.Tick();
  BOOST_TEST(!scene.detector.TakeUrgent().has_value());
  scene.watch.OnSynUnanswered(scene.indexes[1], scene.now);
  scene.watch.OnProbed(scene.indexes[1], ProbeOutcome::kRefused, scene.now,
                       scene.now + 1ms);
  scene.Tick();
  BOOST_TEST((scene.detector.TakeUrgent() == UrgentReceivers::kDomain));
  PeerObservations reported;
  scene.detector.Append(reported, scene.now);
  BOOST_REQUIRE(reported.targets.size() == 2U);
  BOOST_TEST(reported.targets[0].silent);
  BOOST_TEST(reported.targets[0].target.value == 2U);
}

}  // namespace
}  // namespace sassafrasdyke::core

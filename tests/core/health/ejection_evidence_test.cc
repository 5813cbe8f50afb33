/// Which evidence may eject a target, and eject it again when it returns.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "core/health/health_scene.h"
#include "core/health/outlier_detector.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

constexpr std::size_t kTargets = 10;
constexpr Time kFirstEjection = 2000ms;

/// The first target has failed, was ejected, and is about to return.
struct ReturningScene : HealthScene {
  ReturningScene() : HealthScene(kTargets) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->Own(i, 30, i == 0 ? 30 : 0, 30ms);
    }
    this->Settle();
    this->Tick();
    BOOST_REQUIRE(this->State(0) == OutlierState::kFailing);
    this->now += kFirstEjection;
    this->Tick();
    BOOST_REQUIRE(this->State(0) == OutlierState::kReturning);
  }
  /// Requests to the targets that were never ejected.
  void UseOthers(int requests, int failures) {
    for (std::size_t i = 1; i < kTargets; ++i) {
      this->Own(i, requests, failures, 30ms);
    }
  }
};

// Guards against a digest that the network has delayed and that replaces a
// newer one.
BOOST_AUTO_TEST_CASE(a_delayed_digest_replaces_no_newer_one) {
  HealthScene scene(kTargets);
  scene.Report(1, {});
  scene.ReportSentAt(scene.now - 200ms, 1, {HealthScene::Seen(0, 60, 60, 0ms)});
  scene.Tick();

  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

// Guards against a duplicate that makes outdated counts count again.
BOOST_AUTO_TEST_CASE(a_duplicate_does_not_extend_the_time_of_a_report) {
  HealthScene scene(kTargets);
  const Time sent_at = scene.now;
  scene.Report(1, {HealthScene::Seen(0, 60, 60, 0ms)});
  scene.now += 2900ms;
  scene.ReportSentAt(sent_at, 1, {HealthScene::Seen(0, 60, 60, 0ms)});
  scene.now += 200ms;
  scene.Tick();

  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

struct Pause {
  Time length;
  Time read_after;  ///< When the digests are read, after the pause.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Pause& row) {
  return out << row.length.count() << " ms, read after "
             << row.read_after.count() << " ms";
}

const Pause kPauses[] = {{5000ms, 0ms, OutlierState::kHealthy},
                         {5000ms, 200ms, OutlierState::kHealthy},
                         {5000ms, 250ms, OutlierState::kFailing},
                         {900ms, 0ms, OutlierState::kFailing}};

// Guards against digests that waited in the socket during a pause: the
// resumed instance would eject targets that have long recovered, and report
// that to its domain as its own decision.
BOOST_DATA_TEST_CASE(health_reports_that_waited_do_not_count, kPauses, row) {
  HealthScene scene(kTargets);
  scene.detector.OnPause(row.length, scene.now);
  scene.now += row.read_after;
  for (std::uint16_t peer = 0; peer < 5; ++peer) {
    scene.Report(peer, {HealthScene::Seen(0, 10, 10, 0ms),
                        HealthScene::Ejected(1, 100ms)});
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
  BOOST_TEST(scene.State(1) == row.state);
}

// Guards against an instance that has just started and knows neither the rate
// of requests nor the median: the few requests of those who report a target
// would all count, and rare failures would look like many.
BOOST_AUTO_TEST_CASE(rare_failures_eject_nothing_at_an_instance_that_starts) {
  for (const int own_requests : {0, 1}) {
    HealthScene scene(kTargets);
    for (std::size_t i = 0; i < kTargets / 2; ++i) {
      scene.Own(i, own_requests, 0, 30ms);
    }
    scene.Settle();
    for (std::uint16_t peer = 0; peer < 26; ++peer) {
      const auto seen = HealthScene::Seen(0, 4, 2, 30ms);
      scene.Report(peer, peer < 8 ? std::vector{seen}
                                  : std::vector<TargetObservation>());
    }
    scene.Tick();

    BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
  }
}

// Guards against an instance that has just started and takes its first answer,
// a short one, for the usual: targets with some longer answers would be slow.
BOOST_AUTO_TEST_CASE(the_first_answer_after_a_start_is_no_median) {
  HealthScene scene(kTargets);
  scene.Own(5, 1, 0, 5ms);
  scene.Settle();
  for (std::uint16_t peer = 0; peer < 26; ++peer) {
    const auto seen = HealthScene::Seen(0, 2, 0, 70ms);
    scene.Report(
        peer, peer < 5 ? std::vector{seen} : std::vector<TargetObservation>());
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == OutlierState::kHealthy);
}

struct SingleReport {
  std::string name;
  TargetObservation report;  ///< Of one instance.
  std::uint16_t others;      ///< Instances that list nothing.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const SingleReport& row) {
  return out << row.name << ", " << row.others << " others";
}

const SingleReport kSingleReports[] = {
    {"ejected", HealthScene::Ejected(0, 0ms), 20, OutlierState::kHealthy},
    {"ejected", HealthScene::Ejected(0, 0ms), 2, OutlierState::kFailing},
    {"failures", HealthScene::Seen(0, 60, 60, 0ms), 20, OutlierState::kHealthy},
    {"failures", HealthScene::Seen(0, 60, 60, 0ms), 2, OutlierState::kFailing},
    {"slow", HealthScene::Seen(0, 60, 0, 900ms), 20, OutlierState::kHealthy},
    {"slow", HealthScene::Seen(0, 60, 0, 900ms), 2, OutlierState::kSlow}};

// Guards against false reports of one instance: at an instance that has sent
// the target nothing lately they would count, although the many who don't list
// the target have seen its answers.
BOOST_DATA_TEST_CASE(one_report_does_not_outweigh_many, kSingleReports, row) {
  HealthScene scene(kTargets);
  for (const Time time : {0ms, 2500ms}) {
    scene.now += time;
    for (std::size_t i = 1; i < kTargets; ++i) {
      scene.Own(i, 1, 0, 30ms);
    }
  }
  scene.Settle();
  for (std::uint16_t peer = 0; peer < row.others; ++peer) {
    scene.Report(peer, {});
  }
  scene.Report(row.others, {row.report});
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
}

// Guards against a new ejection that is confirmed only by the former one, which
// peers report until the target has returned to them.
BOOST_AUTO_TEST_CASE(a_former_ejection_does_not_confirm_another) {
  ReturningScene scene;
  scene.UseOthers(5, 0);
  scene.Own(0, 1, 0, 30ms);
  scene.Settle();
  scene.Report(1, {HealthScene::Ejected(0, 4000ms)});
  scene.Report(2, {HealthScene::Ejected(0, 0ms)});
  scene.Tick();
  BOOST_TEST(scene.State(0) == OutlierState::kReturning);

  scene.Report(3, {HealthScene::Ejected(0, 0ms)});
  scene.Tick();
  BOOST_TEST(scene.State(0) == OutlierState::kFailing);
}

// Guards against an instance whose own link is faulty and that ejects a target
// each time it returns, for its whole domain.
BOOST_AUTO_TEST_CASE(a_faulty_own_link_ejects_no_returning_target) {
  ReturningScene scene;
  scene.now += 500ms;
  scene.UseOthers(5, 5);
  scene.Own(0, 3, 3, 30ms);
  scene.Settle();
  scene.Tick();

  BOOST_TEST(scene.State(0) == OutlierState::kReturning);
}

// Guards against trial flows that aren't counted in the second after a pause,
// when nothing else is: each tick would allow another.
BOOST_AUTO_TEST_CASE(a_pause_does_not_multiply_trial_flows) {
  ReturningScene scene;
  scene.load.instances = 1;
  scene.own.OnPause(scene.now);
  int flows = 0;
  for (const Time end = scene.now + 900ms; scene.now < end;
       scene.now += 100ms) {
    scene.Tick();
    BOOST_REQUIRE(scene.State(0) == OutlierState::kReturning);
    if (scene.Weight(0) > 0) {
      scene.Own(0, 1, 0, 30ms);
      ++flows;
    }
  }

  BOOST_TEST(flows >= 1);
  BOOST_TEST(flows <= 2);
}

struct Trial {
  std::string name;
  int own_requests;
  int own_failures;
  std::vector<std::uint32_t> peers;  ///< Failed requests that each reports.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Trial& row) {
  return out << row.name;
}

const Trial kTrials[] = {
    {"one peer against own successes", 5, 0, {10}, OutlierState::kReturning},
    {"one peer alone", 0, 0, {10}, OutlierState::kFailing},
    {"one peer and an own failure", 1, 1, {10}, OutlierState::kFailing},
    {"two peers", 5, 0, {10, 10}, OutlierState::kFailing},
    {"nobody sees failures", 5, 0, {}, OutlierState::kReturning},
};

// Guards against false reports of one instance that keep a target ejected for
// ever, although others get its answers.
BOOST_DATA_TEST_CASE(trials_need_more_than_one_reporter, kTrials, row) {
  ReturningScene scene;
  scene.now += 2000ms;
  scene.UseOthers(5, 0);
  scene.Own(0, row.own_requests, row.own_failures, 30ms);
  scene.Settle();
  std::uint16_t peer = 0;
  for (const std::uint32_t failures : row.peers) {
    scene.Report(peer++, {HealthScene::Seen(0, failures, failures, 0ms)});
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
}

struct Earlier {
  Time after;  ///< When the reports arrive, after the target has returned.
  OutlierState state;
};

std::ostream& operator<<(std::ostream& out, const Earlier& row) {
  return out << row.after.count() << " ms";
}

const Earlier kEarlier[] = {{100ms, OutlierState::kReturning},
                            {1900ms, OutlierState::kReturning},
                            {2000ms, OutlierState::kFailing}};

// Guards against counts of peers, which cover two seconds, from before the
// target has returned: one failure of short duration would eject it twice.
BOOST_DATA_TEST_CASE(failures_from_before_the_return_do_not_count, kEarlier,
                     row) {
  ReturningScene scene;
  scene.now += row.after;
  for (std::uint16_t peer = 0; peer < 2; ++peer) {
    scene.Report(peer, {HealthScene::Seen(0, 4, 4, 0ms)});
  }
  scene.Tick();

  BOOST_TEST(scene.State(0) == row.state);
}

}  // namespace
}  // namespace sassafrasdyke::core

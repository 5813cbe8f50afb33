/// Probing targets over HTTP.
#include "clients/target_prober.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "clients/http_stand_in.h"
#include "support/run_loop.h"

namespace sassafrasdyke::clients {
namespace {

using namespace std::chrono_literals;
using core::TargetHealth;

const std::string kHealthy = R"({"health": "healthy", "open": 3, "load": 0.5})";

class Recorder final : public ProbeListener {
 public:
  void OnTargetProbed(common::TargetId target, TargetHealth health) override {
    this->changes.emplace_back(target, health);
    if (this->on_change) {
      this->on_change();
    }
  }
  std::vector<std::pair<common::TargetId, TargetHealth>> changes;
  std::function<void()> on_change;
};

ProbeLimits QuickLimits() {
  ProbeLimits limits;
  limits.interval = 4ms;
  limits.deadline = 30s;
  limits.probes_per_second = 10'000;
  return limits;
}

struct Fixture {
  ev::dynamic_loop loop;
  HttpStandIn target;
  Recorder recorder;
  TargetProber prober{loop, QuickLimits(), 1, recorder};

  ProbedTarget Target(std::uint32_t id) const {
    return {{id}, common::Endpoint::Parse(this->target.Address()).value()};
  }
  bool RunUntil(const std::function<bool()>& done) {
    return tests::RunUntil(this->loop, done);
  }
};

BOOST_FIXTURE_TEST_CASE(tells_changes_only, Fixture) {
  this->target.Script("/health", {200, kHealthy, false});
  this->prober.SetTargets({this->Target(7)});

  BOOST_TEST(
      this->RunUntil([this] { return this->prober.Counts().probes >= 9; }));

  BOOST_REQUIRE(this->recorder.changes.size() == 1U);
  BOOST_TEST(this->recorder.changes[0].first.value == 7U);
  BOOST_TEST((this->recorder.changes[0].second == TargetHealth::kHealthy));
}

struct Reported {
  HttpStandIn::Answer answer;
  TargetHealth health;
};

std::ostream& operator<<(std::ostream& out, const Reported& row) {
  return out << row.answer.status << " " << row.answer.body.substr(0, 40);
}

const Reported kReported[] = {
    {{200, R"({"health": "shedding"})", false}, TargetHealth::kShedding},
    {{200, R"({"health": "failing", "new": []})", false},
     TargetHealth::kFailing},
    {{200, R"({"health": "great"})", false}, TargetHealth::kFailing},
    {{200, R"({"health": 1})", false}, TargetHealth::kFailing},
    {{200, R"(["healthy"])", false}, TargetHealth::kFailing},
    {{200, "{}", false}, TargetHealth::kFailing},
    {{200, "", false}, TargetHealth::kFailing},
    {{200, std::string(5000, '['), false}, TargetHealth::kFailing},
    {{503, kHealthy, false}, TargetHealth::kFailing},
};

// A target's health endpoint breaks, or says what nobody agreed on. Nothing
// that it says may harm the instance, and it doesn't count as healthy.
BOOST_DATA_TEST_CASE(understands_what_endpoints_say, kReported, row) {
  Fixture fixture;
  fixture.target.Script("/health", {200, kHealthy, false});
  fixture.target.Script("/health", row.answer);
  fixture.prober.SetTargets({fixture.Target(7)});

  BOOST_TEST(fixture.RunUntil(
      [&fixture] { return fixture.recorder.changes.size() == 2; }));

  BOOST_TEST((fixture.recorder.changes[1].second == row.health));
}

// A target's machine is gone, or its endpoint hangs. Its callers' flows wait
// for as long as nobody notices.
BOOST_AUTO_TEST_CASE(an_endpoint_that_never_answers_is_failing) {
  HttpStandIn silent;
  silent.Script("/health", {200, kHealthy, true});
  std::string gone;
  {
    const HttpStandIn ended;
    gone = ended.Address();
  }
  ev::dynamic_loop loop;
  Recorder recorder;
  ProbeLimits limits = QuickLimits();
  limits.deadline = 20ms;
  TargetProber prober(loop, limits, 1, recorder);
  prober.SetTargets({{{1}, *common::Endpoint::Parse(silent.Address())},
                     {{2}, *common::Endpoint::Parse(gone)}});

  BOOST_TEST(tests::RunUntil(
      loop, [&recorder] { return recorder.changes.size() == 2; }));

  for (const auto& [target, health] : recorder.changes) {
    BOOST_TEST((health == TargetHealth::kFailing));
  }
}

BOOST_FIXTURE_TEST_CASE(probes_exactly_the_targets_it_is_told_to, Fixture) {
  this->target.Script("/health", {200, kHealthy, false});
  this->prober.SetTargets({this->Target(1), this->Target(2)});
  BOOST_TEST(
      this->RunUntil([this] { return this->recorder.changes.size() == 2; }));

  // The first keeps its state, so there is nothing new to tell of it.
  this->prober.SetTargets({this->Target(1), this->Target(3)});
  BOOST_TEST(
      this->RunUntil([this] { return this->recorder.changes.size() == 3; }));
  BOOST_TEST(this->recorder.changes[2].first.value == 3U);

  this->prober.SetTargets({});
  const std::uint64_t probes = this->prober.Counts().probes;
  this->loop.run(ev::NOWAIT);
  BOOST_TEST(this->prober.Counts().probes == probes);
}

// A change of a target's state leads, by way of the core, to another choice of
// targets while the change is being told.
BOOST_FIXTURE_TEST_CASE(targets_may_change_while_a_change_is_told, Fixture) {
  this->target.Script("/health", {200, kHealthy, false});
  this->recorder.on_change = [this] {
    this->prober.SetTargets({this->Target(2)});
  };
  this->prober.SetTargets({this->Target(1)});

  BOOST_TEST(
      this->RunUntil([this] { return this->recorder.changes.size() == 2; }));
  BOOST_TEST(this->recorder.changes[1].first.value == 2U);
}

// An instance is told to probe far more targets than its budget allows, after
// many peers have died. It must take longer, not more.
BOOST_AUTO_TEST_CASE(the_budget_stretches_the_interval) {
  const HttpStandIn target;
  ev::dynamic_loop loop;
  Recorder recorder;
  ProbeLimits limits = QuickLimits();
  limits.probes_per_second = 100;
  TargetProber prober(loop, limits, 1, recorder);
  std::vector<ProbedTarget> targets;
  targets.reserve(10'000);
  for (std::uint32_t id = 1; id <= 10'000; ++id) {
    targets.push_back(
        {{id}, common::Endpoint::Parse(target.Address()).value()});
  }
  prober.SetTargets(targets);

  BOOST_TEST(
      tests::RunUntil(loop, [&prober] { return prober.Counts().probes >= 5; }));

  // Without the stretch all would be due within milliseconds.
  BOOST_TEST(prober.Counts().probes < 5000U);
}

}  // namespace
}  // namespace sassafrasdyke::clients

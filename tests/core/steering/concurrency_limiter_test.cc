/// How many concurrent requests targets are given before new flows wait.
#include "core/steering/concurrency_limiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

/// A target in the own domain and one in another.
struct LimiterScene : SteeringScene {
  LimiterScene() {
    this->Configure("1 198.18.0.1:443=diary", 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80", 0ms);
    this->Publish("b1", "diary south 10.0.1.1:80", 0ms);
  }
  const Route& RouteOf() {
    return *this->view.Routes().Find(Packet(1).flow.service);
  }
  /// `word`'s target takes `took` for each of `count` requests, `at_once` of
  /// them at a time.
  void Answers(std::uint32_t word, int count, int at_once, Time took) {
    for (int i = 0; i < count; ++i) {
      for (int n = 0; n < at_once; ++n) {
        this->pending.OnRequest(Flow(n), this->IndexOf(word), this->now);
      }
      this->now += took;
      for (int n = 0; n < at_once; ++n) {
        if (const auto seen =
                this->pending.OnAnswer(Flow(n), true, this->now)) {
          this->limiter.OnAnswer(this->IndexOf(word), this->RouteOf(), *seen,
                                 this->now);
        }
      }
    }
  }
  /// Rounds of `at_once` requests at once, of which `long_ones` take a target
  /// 140 ms and the others 20.
  void MixedAnswers(int rounds, int at_once, int long_ones) {
    const TargetIndex target = this->IndexOf(0xA1);
    const auto answer = [&](int flow) {
      const auto timing = this->pending.OnAnswer(Flow(flow), true, this->now);
      BOOST_REQUIRE(timing.has_value());
      this->limiter.OnAnswer(target, this->RouteOf(), *timing, this->now);
    };
    for (int round = 0; round < rounds; ++round) {
      for (int flow = 0; flow < at_once; ++flow) {
        this->pending.OnRequest(Flow(flow), target, this->now);
      }
      this->now += 20ms;
      for (int flow = long_ones; flow < at_once; ++flow) {
        answer(flow);
      }
      this->now += 120ms;
      for (int flow = 0; flow < long_ones; ++flow) {
        answer(flow);
      }
    }
  }
  /// Adds requests at `word`'s target until its domain is full.
  int Capacity(std::uint32_t word, const std::string& domain) {
    for (int count = 0;; ++count) {
      BOOST_REQUIRE(count < 1000);
      const auto grant = this->limiter.GrantFor(this->RouteOf(), this->now);
      if (!grant || grant->domain.value_or("north") != domain) {
        return count;
      }
      ++this->last_flow;
      this->pending.OnRequest(Flow(this->last_flow), this->IndexOf(word),
                              this->now);
    }
  }
  static common::FlowKey Flow(int port) {
    return Packet(static_cast<std::uint16_t>(3000 + port)).flow;
  }

  Time now{10};
  int last_flow{1000};  ///< Of those that fill a domain.
  TargetWatch watch;
  PendingRequests pending;
  WarmupBudget warmup{this->view.Routes(), this->view.Targets(), {}, 0};
  ConcurrencyLimiter limiter{
      "north",     this->view.Targets(), this->view.Regions(),
      this->watch, this->pending,        this->warmup};
};

struct History {
  std::string name;
  int answers;
  int at_once;
  Time took;
  int least;
  int most;
};

std::ostream& operator<<(std::ostream& out, const History& row) {
  return out << row.name;
}

// Callers want answers within 200 ms.
const History kHistories[] = {
    {"nothing known", 0, 0, 0ms, 4, 4},
    {"quick answers, all room used", 10, 8, 20ms, 10, 20},
    {"quick answers, little used", 100, 1, 20ms, 4, 4},
    {"answers that always take long are the usual ones", 100, 4, 180ms, 5, 100},
};

BOOST_DATA_TEST_CASE(the_limit_adapts_to_answer_times, kHistories, row) {
  LimiterScene scene;
  scene.Answers(0xA1, row.answers, row.at_once, row.took);

  const int capacity = scene.Capacity(0xA1, "north");

  BOOST_TEST(capacity >= row.least);
  BOOST_TEST(capacity <= row.most);
}

struct InitialLimitRow {
  int targets;
  int limit;
};

std::ostream& operator<<(std::ostream& out, const InitialLimitRow& row) {
  return out << row.targets << " targets";
}

// Targets of two slots each; a single one is given as many requests again to
// queue.
const InitialLimitRow kInitialLimits[] = {{1, 4}, {2, 4}, {5, 10}, {14, 28}};

// Guards against targets that idle after an outage while callers are held back:
// the limit before any answer has to fill all of them.
BOOST_DATA_TEST_CASE(the_initial_limit_fills_the_targets, kInitialLimits, row) {
  LimiterScene scene;
  for (int i = 2; i <= row.targets; ++i) {
    scene.Publish("c" + std::to_string(i),
                  "diary north 10.0.2." + std::to_string(i) + ":80", 0ms);
  }

  BOOST_TEST(scene.Capacity(0xA1, "north") == row.limit);
}

// The targets' queues grow until answers take more than half of what callers
// allow. The limit must fall to a few requests and recover with quick answers.
BOOST_AUTO_TEST_CASE(late_answers_lower_the_limit_and_quick_ones_raise_it) {
  LimiterScene scene;
  scene.Answers(0xA1, 5, 8, 20ms);
  scene.Answers(0xA1, 3, 20, 140ms);
  const int lowered = scene.Capacity(0xA1, "north");
  scene.now += 1s;
  scene.pending.Expire(scene.now);
  scene.Answers(0xA1, 200, 4, 20ms);
  const int recovered = scene.Capacity(0xA1, "north");

  BOOST_TEST(lowered <= 2);
  BOOST_TEST(recovered >= 6);
}

// Guards against targets that idle for seconds after a queue has drained: the
// limit must return to its former size within a few answers.
BOOST_AUTO_TEST_CASE(the_limit_recovers_within_a_few_answers) {
  constexpr int kAtOnce = 40;
  LimiterScene never_late;
  never_late.Answers(0xA1, 6, kAtOnce, 20ms);
  LimiterScene scene;
  scene.Answers(0xA1, 6, kAtOnce, 20ms);
  scene.Answers(0xA1, 3, kAtOnce, 140ms);
  scene.Answers(0xA1, 8, kAtOnce, 20ms);

  const int before = never_late.Capacity(0xA1, "north");
  const int after = scene.Capacity(0xA1, "north");

  BOOST_TEST_MESSAGE(before << " requests, then " << after);
  BOOST_TEST(after * 2 >= before);
}

// One answer in five takes long, because work varies or one target of many is
// slow. A lower limit for all targets would help with neither; callers would
// wait while targets idle, and give up.
BOOST_AUTO_TEST_CASE(some_long_answers_keep_the_limit) {
  constexpr int kAtOnce = 10;
  LimiterScene scene;
  scene.MixedAnswers(60, kAtOnce, 2);

  BOOST_TEST(scene.Capacity(0xA1, "north") >= kAtOnce);
}

const int kLongOfTen[] = {4, 5};

// Guards against callers that wait while targets idle: where the objective is
// little more than twice the work, a half of ordinary answers seem late.
BOOST_DATA_TEST_CASE(varying_work_keeps_the_limit, kLongOfTen, long_ones) {
  constexpr int kAtOnce = 10;
  LimiterScene scene;
  scene.MixedAnswers(60, kAtOnce, long_ones);

  BOOST_TEST(scene.Capacity(0xA1, "north") >= kAtOnce);
}

// Guards against a limit that falls though nothing queues: two slow answers of
// four are no evidence of congestion.
BOOST_AUTO_TEST_CASE(few_long_answers_are_no_congestion) {
  LimiterScene usual;
  usual.Answers(0xA1, 3, 8, 20ms);
  LimiterScene scene;
  scene.Answers(0xA1, 3, 8, 20ms);
  scene.Answers(0xA1, 1, 2, 20ms);
  scene.Answers(0xA1, 1, 2, 140ms);
  scene.Answers(0xA1, 1, 2, 20ms);

  BOOST_TEST(scene.Capacity(0xA1, "north") >= usual.Capacity(0xA1, "north"));
}

// Callers are 35 ms away from their instance: an answer takes more than half of
// their objective, but only 10 ms of it at the target. If network time counted
// as the target's time, all flows would be held back for an idle target.
BOOST_AUTO_TEST_CASE(a_long_round_trip_is_no_congestion) {
  LimiterScene scene;
  for (int i = 0; i < 40; ++i) {
    const common::FlowKey flow = LimiterScene::Flow(i);
    scene.pending.OnPlaced(flow, scene.IndexOf(0xA1), scene.now);
    scene.now += 70ms;
    scene.pending.OnRequest(flow, scene.IndexOf(0xA1), scene.now);
    scene.now += 80ms;
    const auto timing = scene.pending.OnAnswer(flow, true, scene.now);
    BOOST_REQUIRE(timing.has_value());
    BOOST_TEST(timing->TimeAtTarget().count() == 10);
    scene.limiter.OnAnswer(scene.IndexOf(0xA1), scene.RouteOf(), *timing,
                           scene.now);
  }

  BOOST_TEST(scene.Capacity(0xA1, "north") >= 4);
}

// The own domain is at its limit, another has capacity: the flow goes there
// instead of waiting. When all are at their limits, it waits.
BOOST_AUTO_TEST_CASE(flows_go_to_another_domain_before_they_wait) {
  LimiterScene scene;
  scene.Capacity(0xA1, "north");
  const auto relieved = scene.limiter.GrantFor(scene.RouteOf(), scene.now);
  BOOST_REQUIRE(relieved.has_value());
  BOOST_TEST(relieved->domain.value_or("") == "south");

  scene.Capacity(0xB1, "south");

  BOOST_TEST(!scene.limiter.GrantFor(scene.RouteOf(), scene.now).has_value());
}

// The only target of the own domain leaves SYNs unanswered. Requests that wait
// there must not keep flows from the target that serves.
BOOST_AUTO_TEST_CASE(suspected_targets_do_not_count) {
  LimiterScene scene;
  scene.Capacity(0xA1, "north");
  scene.watch.OnSynUnanswered(scene.IndexOf(0xA1), scene.now);

  const auto grant = scene.limiter.GrantFor(scene.RouteOf(), scene.now);

  BOOST_REQUIRE(grant.has_value());
  BOOST_TEST(grant->domain.value_or("") == "south");
}

// A service whose answers all fit into one packet: the instance can't see what
// is served, so no flow is held back.
BOOST_AUTO_TEST_CASE(unseen_answers_hold_no_flow_back) {
  LimiterScene scene;
  for (int i = 0; i < 50; ++i) {
    scene.pending.OnRequest(LimiterScene::Flow(i), scene.IndexOf(0xA1), 10ms);
    scene.pending.OnAnswer(LimiterScene::Flow(i), false, 20ms);
    scene.pending.OnRequest(LimiterScene::Flow(i), scene.IndexOf(0xA1), 20ms);
  }

  const auto grant = scene.limiter.GrantFor(scene.RouteOf(), 20ms);

  BOOST_REQUIRE(grant.has_value());
  BOOST_TEST(!grant->domain.has_value());
}

// No target is left. FlowSteering decides whether to refuse; a flow that waited
// for capacity would get no answer.
BOOST_AUTO_TEST_CASE(without_targets_no_flow_waits) {
  LimiterScene scene;
  scene.Remove("a1", 10ms);
  scene.Remove("b1", 10ms);

  BOOST_TEST(scene.limiter.GrantFor(scene.RouteOf(), 20ms).has_value());
}

}  // namespace
}  // namespace sassafrasdyke::core

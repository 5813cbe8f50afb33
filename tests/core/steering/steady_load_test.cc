/// How callers are served while targets join or become slow under a steady
/// load.
#include "core/steering/steady_load.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// Why a target starts to take new flows.
enum class Arrival { kNew, kSuspected, kDrainWithdrawn, kLapsed };

struct ArrivalRow {
  std::string name;
  Arrival arrival;
  /// Whether clients acknowledge answers at once, or with their next request.
  bool seen;
};

std::ostream& operator<<(std::ostream& out, const ArrivalRow& row) {
  return out << row.name;
}

const ArrivalRow kArrivals[] = {
    {"new", Arrival::kNew, true},
    {"suspected for a while", Arrival::kSuspected, true},
    {"its drain was withdrawn", Arrival::kDrainWithdrawn, true},
    {"its entry had lapsed", Arrival::kLapsed, true},
    {"new, answers aren't seen", Arrival::kNew, false},
    {"suspected, answers aren't seen", Arrival::kSuspected, false},
};

const std::string kText = "diary north 10.0.0.1:80";

void Leave(SteeringScene& scene, Arrival arrival,
           std::chrono::milliseconds at) {
  switch (arrival) {
    case Arrival::kNew:
      return;
    case Arrival::kSuspected:
      for (int misses = 0; misses < 6; ++misses) {
        scene.steering.Watch().OnSynUnanswered(scene.IndexOf(0xA1), at);
      }
      return;
    case Arrival::kDrainWithdrawn:
      scene.Publish("a1", kText + " draining", at);
      return;
    case Arrival::kLapsed:
      scene.Remove("a1", at);
      return;
  }
}

/// A client opens a flow, asks, and is answered; returns the target's word.
std::uint32_t Ask(SteeringScene& scene, std::uint16_t port, bool seen,
                  std::chrono::milliseconds now) {
  const std::uint32_t word =
      scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(port), now));
  scene.steering.OnPacket(SteeringScene::Data(port, word), now);
  if (seen) {
    FlowPacket ack = SteeringScene::Ack(port, word);
    ack.acknowledgement = 1000;
    scene.steering.OnPacket(ack, now + 5ms);
  }
  scene.steering.OnTick(now);
  return word;
}

// A target joins, or returns after some seconds without new flows. If it got
// every new flow until it has had as many as the others, its queue would fill,
// and callers would wait there or be shed while other targets idle.
BOOST_DATA_TEST_CASE(a_joining_target_gets_only_its_fair_share, kArrivals,
                     row) {
  SteeringScene scene;
  scene.Configure("1 198.18.0.1:443=diary", 0ms);
  for (int i = 2; i <= 5; ++i) {
    scene.Publish("a" + std::to_string(i),
                  "diary north 10.0.0." + std::to_string(i) + ":80", 0ms);
  }
  if (row.arrival != Arrival::kNew) {
    scene.Publish("a1", kText, 0ms);
    Leave(scene, row.arrival, 0ms);
  }
  std::uint16_t port = 1024;
  auto now = 1ms;
  for (; now < 8s; now += 10ms) {
    Ask(scene, ++port, row.seen, now);
  }
  if (row.arrival != Arrival::kSuspected) {
    scene.Publish("a1", kText, now);
  }

  constexpr int kFlows = 100;
  int at_newcomer = 0;
  for (int i = 0; i < kFlows; ++i, now += 10ms) {
    at_newcomer += Ask(scene, ++port, row.seen, now) == 0xA1 ? 1 : 0;
  }
  BOOST_TEST(at_newcomer >= 15);  // A fifth of them is fair.
  BOOST_TEST(at_newcomer <= 25);
}

struct JoinRow {
  std::string name;
  std::size_t instances;
  std::size_t targets;  ///< With those that join.
  std::chrono::milliseconds wants_every;
  std::size_t joining;
  bool others_leave;
  bool instances_restart;
};

std::ostream& operator<<(std::ostream& out, const JoinRow& row) {
  return out << row.name;
}

const JoinRow kJoins[] = {
    {"one of five", 3, 5, 5ms, 1, false, false},
    {"one of five, one instance", 1, 5, 5ms, 1, false, false},
    {"one of five, nine instances", 9, 5, 5ms, 1, false, false},
    {"one of five, few flows", 3, 5, 20ms, 1, false, false},
    {"one of twenty", 3, 20, 2ms, 1, false, false},
    {"one of two", 3, 2, 20ms, 1, false, false},
    {"half of ten are replaced", 3, 15, 5ms, 5, true, false},
    {"half are replaced while instances restart", 3, 15, 5ms, 5, true, true},
};

// Targets join at a third to a half of the total capacity. If all instances
// sent every new flow to a newcomer, it would shed requests while other targets
// idle. Instances that restart meanwhile know no target's history, and must not
// make it worse.
BOOST_DATA_TEST_CASE(joining_targets_shed_no_requests, kJoins, row) {
  LoadPlan plan;
  plan.instances = row.instances;
  plan.targets = row.targets;
  plan.wants_every = row.wants_every;
  plan.joins_at = 5s;
  plan.joining = row.joining;
  plan.others_leave = row.others_leave;
  plan.instances_restart = row.instances_restart;
  const LoadOutcome outcome = SteadyLoad(plan).Play();

  BOOST_TEST(outcome.shed == 0);
  BOOST_TEST(outcome.in_time >= outcome.asked * 99 / 100);
  // Within twice its neighbours' share, and a flow for each instance more.
  const std::size_t first = row.targets - row.joining;
  const std::size_t serving = row.others_leave ? first : first + 1;
  const double fair =
      500.0 / static_cast<double>(row.wants_every.count() * serving);
  BOOST_TEST(outcome.placed_after_join[first] <=
             2 * fair + static_cast<double>(row.instances));
}

// Guards against oscillation: work varies, and if each long answer counted
// against its target, its flows would move to the others and back.
BOOST_AUTO_TEST_CASE(varying_answer_times_cause_no_oscillation) {
  LoadPlan plan;
  plan.joins_at = 5s;
  plan.joining = 0;
  const LoadOutcome outcome = SteadyLoad(plan).Play();

  BOOST_TEST(outcome.shed == 0);
  BOOST_TEST(outcome.late == 0);
  for (const int placed : outcome.placed_after_join) {
    BOOST_TEST(placed >= 10);  // Of 100 in half a second, to five targets.
    BOOST_TEST(placed <= 30);
  }
}

struct SlowRow {
  std::int64_t factor;
  std::chrono::milliseconds wants_every;
};

std::ostream& operator<<(std::ostream& out, const SlowRow& row) {
  return out << row.factor << " times, every " << row.wants_every.count()
             << " ms";
}

const SlowRow kSlow[] = {{4, 5ms}, {4, 7ms}, {8, 5ms}};

// One of five targets takes several times as long for five seconds; the others
// could take over all of its work. If it still got a fifth of the flows, nearly
// all of them would be late or shed.
BOOST_DATA_TEST_CASE(a_slow_target_makes_few_callers_late, kSlow, row) {
  LoadPlan plan;
  plan.wants_every = row.wants_every;
  plan.slow_factor = row.factor;
  plan.slow_from = 2s;
  plan.slow_for = 5s;
  const LoadOutcome outcome = SteadyLoad(plan).Play();
  BOOST_TEST_MESSAGE("late " << outcome.late << ", shed " << outcome.shed
                             << " of " << outcome.asked);

  const auto asked_while_slow = static_cast<int>(5s / row.wants_every);
  const int share_of_slow = asked_while_slow / 5;
  BOOST_TEST(outcome.shed == 0);
  BOOST_TEST(outcome.late <= share_of_slow / 2);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// How many new flows targets get while they warm up.
#include "core/steering/warmup_budget.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/steering/admission_control.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Flows a second that a cold target bears, and the platform's tolerance.
constexpr double kRate = 10.0;
constexpr WarmupTolerance kTolerance{1.5, 5.0};
constexpr std::size_t kBound = 20;  ///< What a target may get in a second.
/// All instances have been up for this long.
constexpr milliseconds kUp{20'000};
constexpr milliseconds kColdFor{10'000};

/// The greatest number of `times`, sorted, within one second.
std::size_t MostInASecond(const std::vector<milliseconds>& times) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto last = std::upper_bound(first, times.end(), *first + 1s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

/// One cold target and the budgets of a whole fleet.
class BudgetFleet {
 public:
  BudgetFleet(std::size_t instances, std::uint64_t number)
      : routes(60s), targets(60s) {
    PublishedConfiguration configuration{1, {}, {{"diary", kRate}}};
    this->routes.Replace(configuration, 0ms);
    PublishedTarget target;
    target.number = {number};
    target.service = "diary";
    target.domain = "north";
    target.cold_until = kUp + kColdFor;
    this->targets.Publish("target/1", target, 0ms);
    this->target = this->targets.Serving("diary").front();
    for (std::size_t i = 0; i < instances; ++i) {
      auto budget = std::make_unique<WarmupBudget>(this->routes, this->targets,
                                                   kTolerance, number + i);
      budget->OnFleetSize(instances, 0ms);
      this->budgets.push_back(std::move(budget));
    }
  }

  /// Every instance has a flow for the target at `now`. Returns how many of
  /// them it gets.
  std::size_t Offer(milliseconds now) {
    std::size_t placed = 0;
    for (const auto& budget : this->budgets) {
      if (budget->Allows(this->target, now)) {
        budget->OnPlaced(this->target, now);
        ++placed;
      }
    }
    return placed;
  }

 private:
  RouteTable routes;
  TargetTable targets;
  TargetIndex target;
  std::vector<std::unique_ptr<WarmupBudget>> budgets;
};

struct Demand {
  std::size_t instances;
  milliseconds every;  ///< All instances have a flow at once this often.
  double least_mean;   ///< Flows that the target gets in a second.
};

std::ostream& operator<<(std::ostream& out, const Demand& row) {
  return out << row.instances << " instances, every " << row.every.count()
             << " ms";
}

const Demand kDemands[] = {
    {1, 10ms, 9.0},    {3, 10ms, 8.0},    {7, 10ms, 6.0},   {10, 10ms, 9.0},
    {11, 10ms, 8.0},   {20, 10ms, 4.0},   {21, 10ms, 4.0},  {86, 10ms, 3.0},
    {300, 10ms, 3.0},  {1024, 50ms, 3.0}, {7, 1500ms, 1.0}, {86, 1500ms, 0.3},
    {300, 1500ms, 0.3}};

// Guards against a cold target that gets more flows than the platform's bound
// from all instances together, in steady load or when callers come all at once,
// and against one that gets hardly any.
BOOST_DATA_TEST_CASE(a_fleet_keeps_to_the_rate_of_a_cold_target, kDemands,
                     row) {
  constexpr int kTargets = 30;
  std::size_t most = 0;
  std::size_t all = 0;
  for (int target = 0; target < kTargets; ++target) {
    BudgetFleet fleet(row.instances, 1000U * (target + 1U));
    std::vector<milliseconds> times;
    for (milliseconds now = kUp; now < kUp + kColdFor; now += row.every) {
      times.insert(times.end(), fleet.Offer(now), now);
    }
    most = std::max(most, MostInASecond(times));
    all += times.size();
  }
  const double mean = static_cast<double>(all) / kTargets /
                      std::chrono::duration<double>(kColdFor).count();

  BOOST_TEST(most <= kBound);
  BOOST_TEST(mean >= row.least_mean);
  BOOST_TEST(mean <= kRate * 1.2);
}

struct FleetView {
  std::string name;
  milliseconds now;
  std::vector<std::pair<milliseconds, std::size_t>> sizes;  ///< As reported.
  std::size_t most;  ///< Flows that one instance may send in a second.
};

std::ostream& operator<<(std::ostream& out, const FleetView& row) {
  return out << row.name;
}

const FleetView kFleetViews[] = {
    {"alone", 20s, {{0s, 1}}, 10},
    {"nobody known yet", 500ms, {{0s, 1}}, 1},
    {"five members", 20s, {{0s, 5}}, 2},
    {"cut off from four of five", 40s, {{0s, 5}, {30s, 1}}, 2},
    {"four of five gone for long", 200s, {{0s, 5}, {100s, 1}, {170s, 1}}, 10},
};

// Guards against an instance that takes the whole rate since it doesn't know
// the others, after a restart of the fleet or behind a cut.
BOOST_DATA_TEST_CASE(an_unknown_fleet_is_taken_for_a_large_one, kFleetViews,
                     row) {
  RouteTable routes(60s);
  routes.Replace({1, {}, {{"diary", kRate}}}, 0ms);
  TargetTable targets(60s);
  PublishedTarget target;
  target.service = "diary";
  target.cold_until = row.now + 10s;
  targets.Publish("target/1", target, 0ms);
  const TargetIndex index = targets.Serving("diary").front();
  WarmupBudget budget(routes, targets, kTolerance, 1);
  for (const auto& [at, size] : row.sizes) {
    budget.OnFleetSize(size, at);
  }

  std::size_t placed = 0;
  for (milliseconds now = row.now; now < row.now + 1s; now += 5ms) {
    if (budget.Allows(index, now)) {
      budget.OnPlaced(index, now);
      ++placed;
    }
  }

  BOOST_TEST(placed <= row.most);
}

struct Mean {
  std::size_t instances;
  double bound;
  double least;
  double most;
};

std::ostream& operator<<(std::ostream& out, const Mean& row) {
  return out << row.instances << " to " << row.bound;
}

const Mean kMeans[] = {{5, 20, 5, 5},     {20, 20, 20, 20}, {21, 20, 9, 10},
                       {86, 20, 4, 6},    {300, 20, 4, 5},  {1024, 20, 4, 5},
                       {1024, 5, 0.1, 1}, {86, 0.5, 0, 0.1}};

BOOST_DATA_TEST_CASE(the_mean_leaves_room_for_chance, kMeans, row) {
  const double mean = SafeMeanFlows(row.instances, row.bound);

  BOOST_TEST(mean >= row.least);
  BOOST_TEST(mean <= row.most);
}

constexpr std::size_t kDomainTargets = 40;
const std::string kDomains[] = {"north", "south", "west"};

std::string IdOf(std::size_t domain, std::size_t target) {
  return std::to_string(1000 + 100 * domain + target);
}

/// The instances of a deployment of three domains, the first of which has just
/// been evacuated and comes back with cold targets.
std::vector<std::unique_ptr<SteeringScene>> ReturnOfADomain(
    std::size_t instances) {
  std::vector<std::unique_ptr<SteeringScene>> fleet;
  for (std::size_t i = 0; i < instances; ++i) {
    auto scene =
        std::make_unique<SteeringScene>(kDomains[i % 3], kTolerance, 1000 + i);
    scene->Configure("1 198.18.0.1:443=diary warmup:diary=10", 0ms);
    for (std::size_t d = 0; d < std::size(kDomains); ++d) {
      for (std::size_t t = 0; t < kDomainTargets; ++t) {
        const std::string id = IdOf(d, t);
        scene->Publish(id,
                       TargetText("diary", kDomains[d],
                                  "10.0." + std::to_string(d) + "." +
                                      std::to_string(t + 1) + ":80") +
                           (d == 0 ? " cold=3000" : ""),
                       kUp);
      }
    }
    scene->steering.OnFleetSize(instances, 0ms);
    fleet.push_back(std::move(scene));
  }
  return fleet;
}

// Guards against the return of an evacuated domain at the day's peak: its
// callers go to its forty cold targets all at once, or to none of them, or wait
// though the other domains have room.
BOOST_AUTO_TEST_CASE(an_evacuated_domain_comes_back_as_a_ramp) {
  constexpr std::size_t kInstances = 86;
  constexpr int kFlowsPerSecond = 1400;
  auto fleet = ReturnOfADomain(kInstances);
  Jitter random(1);
  std::map<std::uint32_t, std::vector<milliseconds>> cold;
  std::size_t at_warm = 0;
  std::uint16_t port = 1024;
  constexpr int kFlows = 3 * kFlowsPerSecond;
  for (int i = 0; i < kFlows; ++i) {
    const milliseconds now = kUp + milliseconds(1000 * i / kFlowsPerSecond);
    SteeringScene& scene = *fleet[random.Below(kInstances)];
    const auto action =
        scene.steering.OnPacket(SteeringScene::Syn(++port), now);
    const auto* sent = std::get_if<SendToTarget>(&action);
    BOOST_REQUIRE(sent != nullptr);
    const TargetEntry& target = scene.view.Targets().At(sent->target);
    if (target.published.domain == "north") {
      cold[target.word.value].push_back(now);
    } else {
      ++at_warm;
    }
  }

  std::size_t at_cold = 0;
  for (const auto& [word, times] : cold) {
    BOOST_TEST(MostInASecond(times) <= kBound);
    at_cold += times.size();
  }
  BOOST_TEST(cold.size() >= kDomainTargets / 2);
  BOOST_TEST(at_cold + at_warm == static_cast<std::size_t>(kFlows));
  BOOST_TEST(at_cold >= kFlows / 50U);

  // Once the targets are warm, their domain serves its own callers again.
  const auto action =
      fleet[0]->steering.OnPacket(SteeringScene::Syn(1000), kUp + 3001ms);
  BOOST_TEST(WordOf(action) == "local");
}

// Guards against callers who are refused, or sent to targets that can't bear
// them, while every target is cold.
BOOST_AUTO_TEST_CASE(callers_wait_while_all_targets_are_cold) {
  SteeringScene scene("north", kTolerance, 7);
  scene.Configure("1 198.18.0.1:443=diary warmup:diary=10", 0ms);
  scene.Publish("a1", "diary north 10.0.0.1:80 cold=5000", kUp);
  scene.Publish("b1", "diary south 10.0.1.1:80 cold=5000", kUp);
  scene.steering.OnFleetSize(5, 0ms);
  AdmissionControl admission(scene.view.Routes(), scene.steering);
  const std::vector<std::uint8_t> bytes(32);
  std::vector<milliseconds> sent;
  const auto send = [&](const FlowPacket& syn, milliseconds now,
                        const AdmissionGrant& grant) {
    const auto action = scene.steering.OnPacket(syn, now, grant);
    BOOST_TEST(std::holds_alternative<SendToTarget>(action));
    sent.push_back(now);
  };
  std::uint16_t port = 1000;

  for (milliseconds now = kUp; now < kUp + 2s; now += 10ms) {
    const FlowPacket syn = SteeringScene::Syn(++port);
    if (const auto grant = admission.Admit(syn, bytes, now, now)) {
      send(syn, now, *grant);
    }
    scene.steering.OnTick(now);
    admission.OnTick(now);
    while (const auto released = admission.TakeNext(now)) {
      FlowPacket waited = SteeringScene::Syn(1);
      waited.flow = released->syn.flow;
      send(waited, now, released->grant);
    }
  }

  // Two a second from this one of five instances, at each of two targets.
  BOOST_TEST(sent.size() >= 6U);
  BOOST_TEST(MostInASecond(sent) <= 4U);
  BOOST_TEST(admission.Waiting() > 0U);
  for (int i = 0; i < 4; ++i) {
    scene.steering.OnPacket(SteeringScene::Syn(++port), kUp + 2s);
  }
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(5000),
                                            kUp + 2s)) == "targets-cold");
}

struct ColdRow {
  std::string name;
  std::optional<milliseconds> confirmed_ago;
  milliseconds cold_until;
};

std::ostream& operator<<(std::ostream& out, const ColdRow& row) {
  return out << row.name;
}

const ColdRow kColdRows[] = {{"read just now", std::nullopt, 6500ms},
                             {"confirmed a second ago", 1000ms, 5500ms}};

// Guards against a target that counts as cold anew whenever its entry is read
// again, or from a peer's old view.
BOOST_DATA_TEST_CASE(the_warm_up_counts_from_the_entrys_publication, kColdRows,
                     row) {
  SamplePublication publication;
  LiveView view(publication, 60s);
  const std::vector<Item> items{
      {"configuration", {1}, "1 198.18.0.1:443=diary"},
      {"target/a1", {2}, "diary north 10.0.0.1:80 cold=1500"}};
  view.OnPeerItems({{0}, {2}, true, items}, 5000ms, row.confirmed_ago);

  view.OnListing(items, {3}, 6000ms);

  const TargetIndex index = view.Targets().Serving("diary").front();
  BOOST_TEST((view.Targets().At(index).published.cold_until == row.cold_until));
  BOOST_TEST(view.Targets().ColdCount(5100ms) == 1U);
  BOOST_TEST(view.Targets().ColdCount(row.cold_until) == 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// How new flows are distributed among targets.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/health/fixed_target_weights.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// Usable targets of the domains, in the order of kDomains.
struct UsableTargets {
  std::vector<int> targets;
  double busiest;  ///< Most flows at one target, to the mean.
  double local;    ///< Least part of a domain's flows that stay in it.
};

std::ostream& operator<<(std::ostream& out, const UsableTargets& row) {
  for (const int count : row.targets) {
    out << count << " ";
  }
  return out;
}

const std::string kDomains[] = {"north", "south", "west"};

const UsableTargets kUsableTargets[] = {
    {{5, 5, 4}, 1.20, 1.0}, {{2, 1, 1}, 1.40, 1.0}, {{1, 3, 3}, 1.30, 0.3},
    {{1, 5, 4}, 1.25, 0.2}, {{0, 4, 4}, 1.10, 0.0},
};

/// One instance for each domain, with the same view.
std::vector<std::unique_ptr<SteeringScene>> Instances(
    const UsableTargets& row) {
  std::vector<std::unique_ptr<SteeringScene>> instances;
  for (const std::string& domain : kDomains) {
    auto scene = std::make_unique<SteeringScene>(domain);
    scene->Configure("1 198.18.0.1:443=diary", 0ms);
    int id = 0xA0;
    for (std::size_t i = 0; i < row.targets.size(); ++i) {
      for (int n = 0; n < row.targets[i]; ++n) {
        ++id;
        const std::string address = "10.0.0." + std::to_string(id) + ":80";
        char name[16];
        std::snprintf(name, sizeof(name), "%x", static_cast<unsigned>(id));
        scene->Publish(name, TargetText("diary", kDomains[i], address), 0ms);
      }
    }
    instances.push_back(std::move(scene));
  }
  return instances;
}

// Most targets of one failure domain crash, and the clients of that domain
// reopen their flows. If all were sent to the one target that is left, it would
// shed requests while targets of other domains idle. Clients of a domain that
// has its share of targets stay in it.
BOOST_DATA_TEST_CASE(a_domain_with_few_targets_spills_its_load, kUsableTargets,
                     row) {
  constexpr std::uint16_t kFlows = 2000;
  const auto instances = Instances(row);
  std::map<std::uint32_t, int> flows;
  double least_local = 1.0;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    int local = 0;
    for (std::uint16_t n = 0; n < kFlows; ++n) {
      const auto port = static_cast<std::uint16_t>(1024 + kFlows * i + n);
      const auto action =
          instances[i]->steering.OnPacket(SteeringScene::Syn(port), 10ms);
      const auto* const sent = std::get_if<SendToTarget>(&action);
      BOOST_REQUIRE(sent != nullptr);
      const TargetEntry& target = instances[i]->view.Targets().At(sent->target);
      ++flows[target.word.value];
      local += target.published.domain == kDomains[i] ? 1 : 0;
    }
    least_local = std::min(least_local, static_cast<double>(local) / kFlows);
  }
  int most = 0;
  for (const auto& [word, count] : flows) {
    most = std::max(most, count);
  }
  const double mean =
      static_cast<double>(kFlows * instances.size()) /
      static_cast<double>(row.targets[0] + row.targets[1] + row.targets[2]);

  BOOST_TEST(most / mean <= row.busiest);
  BOOST_TEST(least_local >= row.local);
}

struct WorkRow {
  std::string name;
  std::chrono::milliseconds work;
  int least_local;  ///< Of 100 flows.
  int most_local;
};

std::ostream& operator<<(std::ostream& out, const WorkRow& row) {
  return out << row.name;
}

const WorkRow kWorkRows[] = {{"idle targets", 2ms, 95, 100},
                             {"busy targets", 200ms, 10, 40}};

// Guards against flows that spill for more network time than their work takes,
// though the few targets of their own domain idle.
BOOST_DATA_TEST_CASE(few_idle_targets_keep_their_flows, kWorkRows, row) {
  constexpr auto kNearWay = 26ms;
  constexpr auto kFarWay = 34ms;
  constexpr int kFlows = 100;
  const auto instances = Instances({{1, 5, 4}, 0, 0});
  SteeringScene& north = *instances.front();
  auto now = 10ms;
  std::uint16_t port = 1024;
  int local = 0;
  for (int i = 0; i < 2 * kFlows; ++i) {
    now += 300ms;
    const std::uint32_t word =
        north.WordOf(north.steering.OnPacket(SteeringScene::Syn(++port), now));
    const bool is_local = word == 0xA1;
    const auto way = is_local ? kNearWay : kFarWay;
    north.steering.OnPacket(SteeringScene::Data(port, word), now + way);
    FlowPacket ack = SteeringScene::Ack(port, word);
    ack.acknowledgement = 1000;
    north.steering.OnPacket(ack, now + 2 * way + row.work);
    local += i >= kFlows && is_local ? 1 : 0;
  }

  BOOST_TEST(local >= row.least_local);
  BOOST_TEST(local <= row.most_local);
}

/// Weights of a domain's targets, and the part of 1,000 flows each gets.
struct WeightRow {
  std::vector<double> weights;
  std::vector<double> parts;
  std::string_view reason;
};

std::ostream& operator<<(std::ostream& out, const WeightRow& row) {
  for (const double weight : row.weights) {
    out << weight << " ";
  }
  return out;
}

const WeightRow kWeights[] = {
    {{1, 1, 1, 1}, {0.25, 0.25, 0.25, 0.25}, "local"},
    {{0.25, 1, 1, 1}, {0.077, 0.308, 0.308, 0.308}, "local"},
    {{0, 1, 1, 1}, {0, 0.333, 0.333, 0.333}, "local"},
    {{0, 0, 0, 0.5}, {0, 0, 0, 1}, "local"},
    {{0, 0, 0, 0}, {}, "suspected-only"},
};

// Guards against flows to ejected targets while others are left, and against
// refusals when none is.
BOOST_DATA_TEST_CASE(weights_scale_the_flows_of_targets, kWeights, row) {
  constexpr std::uint16_t kFlows = 1000;
  FixedTargetWeights weights;
  const SharedObservations shared{NoSharedObservations().load,
                                  weights,
                                  NoSharedObservations().locality,
                                  {}};
  SteeringScene scene("north", {}, 0, shared);
  scene.Configure("1 198.18.0.1:443=diary", 0ms);
  for (std::size_t i = 0; i < row.weights.size(); ++i) {
    const std::string number = std::to_string(i + 1);
    scene.Publish(
        number, TargetText("diary", "north", "10.0.0." + number + ":80"), 0ms);
    weights.weights[*scene.view.Targets().IndexOf({static_cast<std::uint32_t>(
        i + 1)})] = {row.weights[i], OutlierState::kSlow};
  }
  std::map<std::uint32_t, double> flows;
  auto now = 10ms;
  for (std::uint16_t i = 0; i < kFlows; ++i) {
    const auto port = static_cast<std::uint16_t>(1024 + i);
    const auto action = scene.steering.OnPacket(SteeringScene::Syn(port), now);
    const std::uint32_t word = scene.WordOf(action);
    BOOST_REQUIRE(WordOf(action) == row.reason);
    flows[word] += 1;
    // An answer at once leaves no target with unanswered requests.
    FlowPacket fin = SteeringScene::Ack(port, word);
    fin.flags.fin = true;
    scene.steering.OnPacket(fin, now += 10ms);
  }

  for (std::size_t i = 0; i < row.parts.size(); ++i) {
    const double part = flows[static_cast<std::uint32_t>(i + 1)] / kFlows;
    BOOST_TEST(std::abs(part - row.parts[i]) <= 0.01);
  }
}

// Guards against a target that gets nothing for long after its health returns,
// because its weight was tiny.
BOOST_AUTO_TEST_CASE(a_weight_that_grows_takes_effect_at_once) {
  FairScheduler scheduler;
  const TargetIndex slow{1};
  const TargetIndex other{2};
  scheduler.OnPlaced(slow, "diary", 0.01);
  scheduler.OnPlaced(other, "diary", 2.0);
  scheduler.OnPlaced(other, "diary", 2.0);

  BOOST_TEST(scheduler.StartTag(slow, "diary", 0.01) == 100.0);
  BOOST_TEST(scheduler.StartTag(slow, "diary", 2.0) == 0.5);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// How new flows are distributed among targets.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "core/health/fixed_target_weights.h"
#include "core/load/fixed_fleet_load.h"
#include "core/steering/headroom_locality.h"
#include "core/steering/proportional_locality.h"
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

/// An instance of north with four targets in each domain, of two slots, and
/// load reports.
struct LoadedScene {
  explicit LoadedScene(const LocalityPolicy& locality)
      : shared{this->load, this->weights, locality, {}},
        scene("north", {}, 0, this->shared) {
    this->scene.Configure("1 198.18.0.1:443=diary", 0ms);
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t n = 0; n < 4; ++n) {
        this->Publish(i, n, "");
      }
    }
  }

  void Publish(std::size_t domain, std::size_t number,
               const std::string& state) {
    const std::size_t id = 0xA0 + 4 * domain + number;
    char name[16];
    std::snprintf(name, sizeof(name), "%zx", id);
    const std::string address = "10.0.0." + std::to_string(id) + ":80";
    this->scene.Publish(
        name, TargetText("diary", kDomains[domain], address) + state, 0ms);
  }
  /// `requests`: of the callers of each domain, at once, all at its targets.
  void Report(const std::vector<double>& requests) {
    constexpr double kPerSlot = 1000.0 / 30;  // Requests of 30 ms.
    std::vector<DomainLoad>& loads = this->load.loads["diary"];
    loads.clear();
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const double rate = requests[i] * kPerSlot;
      loads.push_back({kDomains[i], rate, requests[i], rate});
    }
  }
  /// Domain and reason of a new flow.
  std::pair<std::string, std::string> Place(const FlowPacket& syn,
                                            std::chrono::milliseconds now,
                                            const AdmissionGrant& grant = {}) {
    const auto action = this->scene.steering.OnPacket(syn, now, grant);
    const auto* const sent = std::get_if<SendToTarget>(&action);
    return {sent == nullptr
                ? ""
                : this->scene.view.Targets().At(sent->target).published.domain,
            std::string(WordOf(action))};
  }

  FixedFleetLoad load;
  EqualTargetWeights weights;
  SharedObservations shared;
  SteeringScene scene;
};

const ProportionalLocality kProportional(0.7);
const HeadroomLocality kHeadroom(0.7);
const LocalityPolicy* const kPolicies[] = {&kProportional, &kHeadroom};

struct LightRow {
  std::string name;
  std::vector<double> requests;  ///< At once; see LoadedScene::Report.
  std::string event;             ///< Key of an item that is published as "{}".
};

std::ostream& operator<<(std::ostream& out, const LightRow& row) {
  return out << row.name;
}

const LightRow kLightRows[] = {
    {"even", {1.6, 1.6, 1.6}, ""},
    {"uneven", {5, 0.5, 0.5}, ""},
    {"only the own domain is known", {7}, ""},
    {"no report", {}, ""},
    {"own domain evacuated", {1.6, 1.6, 1.6}, "evacuation/north"},
};

// Guards against reports that change anything while there is capacity.
BOOST_DATA_TEST_CASE(light_load_places_as_without_reports,
                     boost::unit_test::data::make(kPolicies) * kLightRows,
                     policy, row) {
  LoadedScene with(*policy);
  LoadedScene without(NoSharedObservations().locality);
  with.Report(row.requests);
  for (LoadedScene* const scene : {&with, &without}) {
    if (!row.event.empty()) {
      scene->scene.Change(row.event, "{}", 0ms);
    }
  }
  for (std::uint16_t port = 1024; port < 3024; ++port) {
    const auto now = std::chrono::milliseconds(port);
    const FlowPacket syn = SteeringScene::Syn(port);
    const auto one = with.scene.steering.OnPacket(syn, now);
    const auto other = without.scene.steering.OnPacket(syn, now);
    BOOST_TEST_REQUIRE(with.scene.WordOf(one) == without.scene.WordOf(other));
    BOOST_TEST_REQUIRE(WordOf(one) == WordOf(other));
  }
}

/// Flows of north while its callers need 12 of 8 slots, and others one each.
struct CrowdedRow {
  std::string name;
  void (*prepare)(LoadedScene& scene);
  std::string reason;  ///< Of the flows that leave; empty when none does.
  std::vector<std::string> domains;     ///< Where those go.
  std::optional<std::string> relief{};  ///< The limiter's choice.
};

std::ostream& operator<<(std::ostream& out, const CrowdedRow& row) {
  return out << row.name;
}

void LeaveAsIs(LoadedScene& /*scene*/) {}

const CrowdedRow kCrowdedRows[] = {
    {"all usable", LeaveAsIs, "shared", {"south", "west"}},
    {"south evacuated",
     [](LoadedScene& scene) { scene.scene.Evacuate("south", 1ms); },
     "shared",
     {"west"}},
    {"south not reachable",
     [](LoadedScene& scene) { scene.load.loads["diary"][1].reachable = false; },
     "shared",
     {"west"}},
    {"south not allowed",
     [](LoadedScene& scene) {
       scene.scene.view.SetRegions(
           RegionMap({{"north", "home"}, {"south", "away"}, {"west", "home"}}));
       scene.scene.Configure("2 198.18.0.1:443=diary@home", 1ms);
     },
     "shared",
     {"west"}},
    {"south has no targets",
     [](LoadedScene& scene) {
       for (std::size_t n = 0; n < 4; ++n) {
         scene.Publish(1, n, " draining");
       }
     },
     "shared",
     {"west"}},
    {"south warms up and has enough new flows",
     [](LoadedScene& scene) {
       scene.scene.Configure("2 198.18.0.1:443=diary warmup:diary=0.001", 1ms);
       for (std::size_t n = 0; n < 4; ++n) {
         scene.Publish(1, n, " cold=60000");
       }
     },
     "shared",
     {"west"}},
    {"all equally full",
     [](LoadedScene& scene) {
       scene.Report({12, 12, 12});
     },
     "",
     {}},
    {"no report", [](LoadedScene& scene) { scene.Report({}); }, "", {}},
    {"no report of the own domain",
     [](LoadedScene& scene) {
       scene.load.loads["diary"][0].callers_requests_per_s = std::nullopt;
     },
     "",
     {}},
    {"the limiter relieves first", LeaveAsIs, "relieved", {"west"}, "west"},
    {"own domain evacuated",
     [](LoadedScene& scene) { scene.scene.Evacuate("north", 1ms); },
     "evacuated",
     {"south", "west"}},
};

// Guards against flows that are rejected at home, or that go where they must
// not or can't be served.
BOOST_DATA_TEST_CASE(a_crowded_domain_shares_its_flows,
                     boost::unit_test::data::make(kPolicies) * kCrowdedRows,
                     policy, row) {
  LoadedScene scene(*policy);
  scene.Report({12, 1, 1});
  row.prepare(scene);
  std::set<std::string> domains;
  std::set<std::string> reasons;
  for (std::uint16_t port = 1024; port < 2024; ++port) {
    const auto [domain, reason] =
        scene.Place(SteeringScene::Syn(port), 100ms, {row.relief});
    if (domain != "north") {
      domains.insert(domain);
      reasons.insert(reason);
    } else {
      BOOST_TEST_REQUIRE(reason == "local");
    }
  }
  const std::set<std::string> expected(row.domains.begin(), row.domains.end());
  BOOST_TEST(domains == expected, boost::test_tools::per_element());
  BOOST_TEST(reasons.size() == (row.reason.empty() ? 0U : 1U));
  BOOST_TEST(reasons.contains(row.reason) == !row.reason.empty());
}

// Guards against flows that fail while a domain is cut off and still counts as
// reachable, and against copies of a SYN in several domains when they reach
// several instances.
BOOST_DATA_TEST_CASE(a_retransmitted_syn_is_retried_at_home, kPolicies,
                     policy) {
  LoadedScene scene(*policy);
  LoadedScene other(*policy);
  scene.Report({12, 1, 1});
  other.Report({12, 1, 1});
  for (std::uint16_t port = 1024; port < 1224; ++port) {
    const auto now = 10s * port;
    const FlowPacket copy = SteeringScene::Syn(port, 1);
    const auto [first, reason] = scene.Place(SteeringScene::Syn(port), now);
    BOOST_TEST_REQUIRE(other.Place(copy, now + 200ms).first == first);
    const auto [second, retried] = scene.Place(copy, now + 200ms);
    BOOST_TEST_REQUIRE(retried == "retried-elsewhere");
    BOOST_TEST_REQUIRE(second == "north");
  }
}

struct DetourRow {
  std::chrono::milliseconds way;  ///< Additional, to another domain.
  bool leaves;
};

std::ostream& operator<<(std::ostream& out, const DetourRow& row) {
  return out << row.way.count();
}

const DetourRow kDetourRows[] = {{4ms, true}, {200ms, false}};

// Guards against flows that leave though the way alone takes a large part of
// what callers wait.
BOOST_DATA_TEST_CASE(a_long_way_keeps_flows, kDetourRows, row) {
  LoadedScene scene(kProportional);
  scene.Report({12, 1, 1});
  auto now = 10ms;
  int left = 0;
  for (std::uint16_t port = 1024; port < 1224; ++port) {
    now += 300ms;
    const auto action =
        scene.scene.steering.OnPacket(SteeringScene::Syn(port), now);
    const std::uint32_t word = scene.scene.WordOf(action);
    const bool is_local = WordOf(action) == "local";
    left += port >= 1124 && !is_local ? 1 : 0;
    const auto round_trip = 1ms + (is_local ? 0ms : row.way);
    scene.scene.steering.OnPacket(SteeringScene::Data(port, word),
                                  now + round_trip);
    FlowPacket ack = SteeringScene::Ack(port, word);
    ack.acknowledgement = 1000;
    scene.scene.steering.OnPacket(ack, now + 2 * round_trip + 30ms);
  }
  BOOST_TEST((left > 0) == row.leaves);
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

/// Limits that begin with the instance's share of its failure domain.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "core/load/fixed_fleet_load.h"
#include "core/steering/concurrency_limiter.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// Targets of two slots each in the own domain and in another.
struct ShareScene : SteeringScene {
  explicit ShareScene(int targets, bool fair_admission = true)
      : shared{this->load, this->weights, this->locality, {}, fair_admission},
        limiter("north", this->view.Targets(), this->view.Regions(),
                this->watch, this->pending, this->warmup, this->shared) {
    this->Configure("1 198.18.0.1:443=diary", 0ms);
    for (int i = 1; i <= targets; ++i) {
      const std::string host = std::to_string(i) + ":80";
      const std::string id = std::to_string(100 + i);
      this->Publish("a" + id, "diary north 10.0.0." + host, 0ms);
      this->Publish("b" + id, "diary south 10.0.1." + host, 0ms);
    }
  }
  std::optional<AdmissionGrant> Grant() {
    return this->limiter.GrantFor(
        *this->view.Routes().Find(Packet(1).flow.service), 10ms);
  }
  void Ask(std::uint32_t word) {
    this->pending.OnRequest(Packet(++this->last_port).flow, this->IndexOf(word),
                            10ms);
  }
  /// Adds requests at the domain's target until the next flow goes elsewhere.
  int Fill(std::uint32_t word, const std::string& domain) {
    for (int count = 0;; ++count) {
      BOOST_REQUIRE(count < 1000);
      const auto grant = this->Grant();
      if (!grant || grant->domain.value_or("north") != domain) {
        return count;
      }
      this->Ask(word);
    }
  }
  /// Quick answers of a target of the own domain, one after the other.
  void Answer(int count) {
    const TargetIndex target = this->IndexOf(0xa101);
    for (int i = 0; i < count; ++i) {
      const common::FlowKey flow = Packet(30'000).flow;
      this->pending.OnRequest(flow, target, 5ms);
      const auto timing = this->pending.OnAnswer(flow, true, 10ms);
      this->limiter.OnAnswer(target, *this->view.Routes().Find(flow.service),
                             *timing, 10ms);
    }
  }

  FixedFleetLoad load;
  EqualTargetWeights weights;
  OwnDomainLocality locality;
  SharedObservations shared;
  TargetWatch watch;
  PendingRequests pending;
  WarmupBudget warmup{this->view.Routes(), this->view.Targets(), {}, 0};
  ConcurrencyLimiter limiter;
  std::uint16_t last_port{1024};
};

struct ShareRow {
  std::string name;
  int targets;
  std::optional<std::size_t> instances;
  bool fair_admission;
  int limit;
};

std::ostream& operator<<(std::ostream& out, const ShareRow& row) {
  return out << row.name;
}

const ShareRow kShares[] = {
    {"a share of 3 slots and three deviations", 40, 27, true, 9},
    {"one instance gets all slots", 40, 1, true, 80},
    {"two get less than all", 40, 2, true, 59},
    {"never under two targets' worth of one", 40, 400, true, 4},
    {"the number of instances isn't known", 40, std::nullopt, true, 80},
    {"a single target", 1, 27, true, 4},
    {"switched off", 40, 27, false, 80},
};

// Guards against the overload after a common restart: 27 instances that each
// begin with all 80 slots of the domain admit 27 times what it can process.
// While an instance knows of no other, or of no number, it must not hold its
// callers back.
BOOST_DATA_TEST_CASE(the_initial_limit_is_the_share, kShares, row) {
  ShareScene scene(row.targets, row.fair_admission);
  scene.load.instances = row.instances;

  BOOST_TEST(scene.Fill(0xa101, "north") == row.limit);
}

struct FullRow {
  std::string name;
  std::string evacuated;
  std::string regions;  ///< That the route allows; empty: all.
  double other;         ///< Concurrency by the reports, of 80 slots.
  int leave;            ///< Flows until they wait.
  bool reachable;
};

std::ostream& operator<<(std::ostream& out, const FullRow& row) {
  return out << row.name;
}

const FullRow kFull[] = {
    {"the other idles", "", "", 8, 7, true},
    {"the other has little room", "", "", 60, 1, true},
    {"the other is full", "", "", 100, 1, true},
    {"the other isn't reachable", "", "", 8, 0, false},
    {"the other is evacuated", "south", "", 8, 0, true},
    {"the route doesn't allow the other", "", "@home", 8, 0, true},
};

// Guards against callers that wait behind the own limit while another domain
// has capacity, and against flows that leave for one that has none.
BOOST_DATA_TEST_CASE(flows_beyond_the_limit_go_where_there_is_capacity, kFull,
                     row) {
  ShareScene scene(40);
  scene.Configure("2 198.18.0.1:443=diary" + row.regions, 0ms);
  scene.view.SetRegions(RegionMap({{"north", "home"}, {"south", "abroad"}}));
  if (!row.evacuated.empty()) {
    scene.Evacuate(row.evacuated, 0ms);
  }
  scene.load.instances = 8;
  scene.load.loads["diary"] = {
      {"north", 0, 80, {}, true, 0ms, 8},
      {"south", 0, row.other, {}, row.reachable, 0ms, 8}};
  scene.Fill(0xa101, "north");

  BOOST_TEST(scene.Fill(0xb101, "south") == row.leave);
  BOOST_TEST(!scene.Grant().has_value());
}

// Guards against a limit that keeps the size of the first answer after a start,
// when the instance knows of no other yet.
BOOST_AUTO_TEST_CASE(an_uncongested_limit_follows_the_number_of_instances) {
  ShareScene scene(40);
  scene.load.instances = 1;
  scene.Answer(1);
  scene.load.instances = 27;
  scene.Answer(1);

  BOOST_TEST(scene.Fill(0xa101, "north") == 9);
}

// Guards against instances that each take the whole headroom of another domain
// while they know of no other instance, just after a start.
BOOST_AUTO_TEST_CASE(reporters_share_the_capacity_of_another_domain) {
  ShareScene scene(40);
  scene.load.instances = 1;
  scene.load.loads["diary"] = {{"north", 0, 80, {}, true, 0ms, 20},
                               {"south", 0, 24, {}, true, 0ms, 20}};
  scene.Fill(0xa101, "north");

  BOOST_TEST(scene.Fill(0xb101, "south") == 2);
}

// Guards against a limit that falls to the least because the published slots
// have changed since it began.
BOOST_AUTO_TEST_CASE(a_limit_follows_instances_whatever_the_slots) {
  ShareScene scene(1);
  scene.load.instances = 1;
  scene.Answer(1);
  for (int i = 2; i <= 40; ++i) {
    scene.Publish("a" + std::to_string(100 + i),
                  "diary north 10.0.0." + std::to_string(i) + ":80", 0ms);
  }
  scene.load.instances = 27;
  scene.Answer(1);

  BOOST_TEST(scene.Fill(0xa101, "north") == 9);
}

// Guards against flows that wait for ever since the digests of all domains that
// may serve them are lost.
BOOST_AUTO_TEST_CASE(unreachable_domains_are_used_if_there_is_no_other) {
  ShareScene scene(40);
  scene.Evacuate("north", 0ms);
  scene.load.instances = 27;
  scene.load.loads["diary"] = {{"north", 0, 0, {}, true, 0ms, 20},
                               {"south", 0, 8, {}, false, 0ms, 20}};

  BOOST_TEST(scene.Grant().has_value());
}

// Guards against a herd: all instances of the domain see the same capacity
// until the next reports, so each may use its part only.
BOOST_AUTO_TEST_CASE(instances_share_the_capacity_of_another_domain) {
  ShareScene scene(40);
  scene.load.instances = 8;
  scene.load.loads["diary"] = {{"north", 0, 80, {}, true, 0ms, 8},
                               {"south", 0, 24, {}, true, 0ms, 8}};
  scene.Fill(0xa101, "north");

  // Of its 80 slots, 64 are offered and 24 used; an eighth of the rest.
  BOOST_TEST(scene.Fill(0xb101, "south") == 5);
}

}  // namespace
}  // namespace sassafrasdyke::core

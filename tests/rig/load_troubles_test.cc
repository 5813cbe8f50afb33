/// The troubles of the load model, and what callers get of them while no part
/// of `front` shares load or health.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ostream>
#include <string>

#include "rig/load/load_comparison.h"
#include "rig/load/load_demand.h"
#include "rig/load/load_model.h"

namespace sassafrasdyke::rig {
namespace {

using std::chrono::milliseconds;

/// A fleet at a quarter of its slots, with `event` from 2 s to 5 s.
LoadScenario ThreeDomains(LoadEvent event) {
  LoadScenario scenario;
  scenario.length = milliseconds(7000);
  scenario.client_delay = milliseconds(1);
  scenario.service.objective = milliseconds(600);
  scenario.domains = {{4, 8, 130}, {4, 8, 130}, {4, 8, 130}};
  scenario.callers = 200;
  event.at = milliseconds(2000);
  event.lasts = milliseconds(3000);
  scenario.events = {event};
  return scenario;
}

LoadEvent Event(LoadTrouble trouble, double share = 0.3, double factor = 1) {
  LoadEvent event;
  event.trouble = trouble;
  event.share = share;
  event.factor = factor;
  return event;
}

struct DemandRow {
  std::string name;
  LoadEvent event;
  double first;  ///< Requests per second of each domain meanwhile.
  double second;
  double third;
  double heavy;  ///< Part of these requests that heavy callers bring.
};

std::ostream& operator<<(std::ostream& out, const DemandRow& row) {
  return out << row.name;
}

const DemandRow kDemand[] = {
    {"none", Event(LoadTrouble::kNone), 130, 130, 130, 0.05},
    {"uneven", Event(LoadTrouble::kUneven, 0, 7), 910, 130, 130, 0.05},
    {"move", Event(LoadTrouble::kMove, 0.6), 52, 208, 130, 0.05},
    {"heavy", Event(LoadTrouble::kHeavy, 0, 2), 260, 260, 260, 0.525}};

// Guards against demand that doesn't change, or that lasts longer than asked.
BOOST_DATA_TEST_CASE(demand_follows_the_event, kDemand, row) {
  const LoadScenario scenario = ThreeDomains(row.event);
  std::vector<double> during(3);
  std::vector<double> outside(3);
  double heavy = 0;
  for (const LoadArrival& arrival : DrawArrivals(scenario)) {
    const bool is_during =
        arrival.at >= milliseconds(2000) && arrival.at < milliseconds(5000);
    (is_during ? during : outside)[arrival.domain] += 1;
    heavy += is_during && arrival.heavy ? 1 : 0;
  }

  const double expected[] = {row.first, row.second, row.third};
  double all = 0;
  for (std::size_t d = 0; d < 3; ++d) {
    // Four standard deviations of a Poisson number.
    const auto bound = [](double count) { return 4 * std::sqrt(count); };
    BOOST_TEST(std::abs(during[d] - 3 * expected[d]) < bound(3 * expected[d]));
    BOOST_TEST(std::abs(outside[d] - 4 * 130) < bound(4 * 130));
    all += during[d];
  }
  BOOST_TEST(std::abs(heavy / all - row.heavy) < 0.05);
}

struct TroubleRow {
  std::string name;
  LoadEvent event;
  /// Of the requests of these three seconds in the first domain, in %.
  int least_failed;
  int most_failed;
  int least_late;
  int least_turned_away;  ///< Tries, in all domains.
};

std::ostream& operator<<(std::ostream& out, const TroubleRow& row) {
  return out << row.name;
}

const TroubleRow kTroubles[] = {
    {"none", Event(LoadTrouble::kNone), 0, 0, 0, 0},
    {"one domain with seven times its callers",
     Event(LoadTrouble::kUneven, 0, 7), 15, 40, 0, 1000},
    {"callers that move", Event(LoadTrouble::kMove, 0.9), 0, 0, 0, 0},
    {"heavy callers", Event(LoadTrouble::kHeavy, 0, 5), 5, 40, 0, 500},
    {"targets that hang", Event(LoadTrouble::kHang), 5, 40, 0, 0},
    {"targets that reject", Event(LoadTrouble::kReject), 0, 10, 0, 100},
    {"targets that reset", Event(LoadTrouble::kReset), 0, 10, 0, 50},
    {"slow targets", Event(LoadTrouble::kSlow, 0.3, 20), 0, 40, 1, 0}};

// Each trouble reaches the callers while no part that shares load or health is
// switched on, and ends.
BOOST_DATA_TEST_CASE(a_trouble_reaches_callers, kTroubles, row) {
  const LoadOutcome outcome =
      LoadModel(ThreeDomains(row.event), PolicyVariant::kVersionBefore).Play();

  LoadCell during;
  for (std::size_t second = 2; second < 5; ++second) {
    const LoadCell& cell = outcome.cells[second][0];
    during.asked += cell.asked;
    during.failed += cell.failed;
    during.late += cell.late;
  }
  BOOST_TEST(during.failed * 100 >= during.asked * row.least_failed);
  BOOST_TEST(during.failed * 100 <= during.asked * row.most_failed);
  BOOST_TEST(during.late * 100 >= during.asked * row.least_late);
  BOOST_TEST(outcome.turned_away >= row.least_turned_away);
  BOOST_TEST(outcome.other_domain < 10);
  BOOST_TEST(outcome.cells[6][0].failed == 0);
}

// Requests that share a flow reach their target, and a flow ends after some.
BOOST_AUTO_TEST_CASE(long_flows_carry_many_requests) {
  LoadScenario scenario = ThreeDomains(Event(LoadTrouble::kNone));
  scenario.callers = 20;
  scenario.long_flows = 1;

  const LoadOutcome outcome =
      LoadModel(scenario, PolicyVariant::kVersionBefore).Play();

  const LoadCell sum = outcome.Sum();
  BOOST_TEST(sum.in_time == sum.asked);
  BOOST_TEST(outcome.further > sum.asked * 9 / 10);
  BOOST_TEST(outcome.further < sum.asked * 97 / 100);
}

// Guards against draws of later troubles that change what a seed stands for.
BOOST_AUTO_TEST_CASE(a_seed_stands_for_the_same_deployment) {
  const LoadScenario scenario = DrawLoadScenario(50154);
  const std::vector<LoadArrival> arrivals = DrawArrivals(scenario);

  BOOST_TEST(Describe(scenario) ==
             "3 domains, 9 instances, 55 targets of 3 slots, work 2 ms (0.6), "
             "objective 58 ms, load 0.01, join");
  BOOST_TEST(arrivals.size() == 4791U);
  BOOST_TEST(arrivals.back().at.count() == 7994338);
  BOOST_TEST(arrivals.back().work.count() == 717);
}

// Hard deployments have the troubles that they are drawn for, and every variant
// meets the same requests.
BOOST_AUTO_TEST_CASE(hard_deployments_have_uneven_demand) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const LoadScenario scenario = DrawHardLoadScenario(seed);
    BOOST_TEST((scenario.Has(LoadTrouble::kUneven) ||
                scenario.Has(LoadTrouble::kMove) ||
                scenario.Has(LoadTrouble::kHeavy)));
    BOOST_TEST(scenario.events.size() >= 2U);
    BOOST_TEST(scenario.callers > 0U);
    const auto asked = static_cast<int>(DrawArrivals(scenario).size());
    for (const PolicyVariant variant :
         {PolicyVariant::kThisVersion, PolicyVariant::kHash}) {
      const LoadCell sum = LoadModel(scenario, variant).Play().Sum();
      BOOST_TEST(sum.asked == asked);
      BOOST_TEST(sum.asked == sum.in_time + sum.late + sum.failed);
    }
  }
}

// A name on the command line is that of one variant.
BOOST_AUTO_TEST_CASE(variants_have_names) {
  BOOST_TEST((VariantOf("this-version") == PolicyVariant::kThisVersion));
  BOOST_TEST((VariantOf("no-ejection") == PolicyVariant::kNoEjection));
  BOOST_TEST(!VariantOf("this version").has_value());
  BOOST_TEST(!LoadSettingsOf(PolicyVariant::kNoEjection).eject_targets);
  BOOST_TEST(LoadSettingsOf(PolicyVariant::kNoEjection).share_load);
  BOOST_TEST(!LoadSettingsOf(PolicyVariant::kVersionBefore).share_load);
}

}  // namespace
}  // namespace sassafrasdyke::rig

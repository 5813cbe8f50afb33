/// The slots that callers need, computed from load reports.
#include "core/load/demand.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace sassafrasdyke::core {
namespace {

/// North has 80 slots.
struct Row {
  std::string name;
  std::vector<DomainLoad> loads;
  std::optional<double> demand;
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.name;
}

const Row kRows[] = {
    {"nothing known", {}, std::nullopt},
    {"no report of the callers",
     {{"north", 1000, 30, std::nullopt}},
     std::nullopt},
    {"idle", {{"north", 0, 0, 0}}, 0},
    {"light", {{"north", 1000, 30, 1000}, {"south", 10, 0.3, 10}}, 30},
    {"a part is elsewhere",
     {{"north", 1000, 30, 3000}, {"south", 2000, 60, 10}},
     90},
    {"queued", {{"north", 4000, 400, 4000}, {"south", 1000, 30, 1000}}, 120},
    {"no answer elsewhere",
     {{"north", 4000, 400, 4000}, {"south", 1000, 0, 1000}},
     400},
    {"few requests elsewhere",
     {{"north", 4000, 400, 4000}, {"south", 10, 0.1, 10}},
     400},
    {"slow targets, others idle",
     {{"north", 500, 60, 500}, {"south", 1000, 30, 1000}},
     60},
    {"no targets here", {{"north", 0, 0, 1000}, {"south", 2000, 60, 1000}}, 30},
    {"all full", {{"north", 4000, 400, 4000}}, 400},
};

// Guards against queues that are taken for demand, which then would seem too
// large for the capacity of idle domains, and against slow targets that seem to
// need no more slots than quick ones.
BOOST_DATA_TEST_CASE(demand_leaves_out_queues, kRows, row) {
  const auto demand = DemandOf("north", 80, row.loads);

  BOOST_TEST(demand.has_value() == row.demand.has_value());
  BOOST_TEST(demand.value_or(0) == row.demand.value_or(0),
             boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace sassafrasdyke::core

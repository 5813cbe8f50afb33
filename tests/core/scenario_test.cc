/// Several instances through planned changes and faults, beside a naive model
/// that knows every flow.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/model/scenarios.h"

namespace sassafrasdyke::core::testing {

static std::ostream& operator<<(std::ostream& out, const Scenario& row) {
  return out << row.name;
}

namespace {

const std::uint64_t kSeeds[] = {1, 2, 3};

// Operators drain targets and replace instances while hundreds of diary feeds
// are open, and news reaches each instance at another time. A user must notice
// nothing; after a fault, only flows that were too young to be copied may go.
BOOST_DATA_TEST_CASE(flows_survive,
                     boost::unit_test::data::make(Scenarios()) *
                         boost::unit_test::data::make(kSeeds),
                     scenario, seed) {
  SmallFleet fleet(PlanOfToday(scenario.domains, seed));
  Callers callers(fleet);

  scenario.run(fleet, callers, {});
  callers.SpeakAll();

  const ModelCounts counts = callers.Counts();
  BOOST_TEST(counts.open > 1000U);
  for (const std::string& fault : callers.Faults()) {
    BOOST_ERROR(fault);
  }
  BOOST_TEST_MESSAGE(scenario.name << ": " << counts.Broken() << " of "
                                   << counts.opened << " broken");
  if (scenario.planned) {
    BOOST_TEST(counts.misrouted == 0U);
    BOOST_TEST(counts.reset == 0U);
    BOOST_TEST(counts.stalled == 0U);
  } else {
    BOOST_TEST(counts.Broken() * 100 < counts.open);
  }
}

}  // namespace
}  // namespace sassafrasdyke::core::testing

/// A fleet of several instances under planned changes and faults, checked
/// against a reference model that knows every flow.
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

// Guards against broken flows while targets are drained and instances replaced,
// with changes reaching each instance at a different time. No planned change
// may break a flow; a fault may break only those too young to be copied.
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

/// When the own failure domain counts as over its share.
#include "core/load/share_monitor.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "core/load/fixed_fleet_load.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

// Guards against a log that tells a crossing at every tick while demand varies
// around the bound, or doesn't tell the end when reports cease.
BOOST_AUTO_TEST_CASE(crossings_of_the_bound_are_told_once) {
  SteeringScene scene;
  scene.Publish("a1", TargetText("diary", "north", "10.0.0.1:80"), 0ms);
  FixedFleetLoad load;
  ShareMonitor monitor("north", 0.7, scene.view.Targets(), load);
  const auto changes_at = [&](double demand) {
    load.loads["diary"] = {{"north", 100, demand, 100, true, 250ms, 9}};
    return monitor.OnTick();
  };

  BOOST_TEST(monitor.OnTick().empty());
  BOOST_TEST(changes_at(1.3).empty());
  const std::vector<ShareChange> over = changes_at(1.5);
  BOOST_REQUIRE(over.size() == 1U);
  BOOST_TEST(over[0].service == "diary");
  BOOST_TEST(over[0].over);
  BOOST_TEST(over[0].demand == 1.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(over[0].slots == 2.0);
  BOOST_TEST((over[0].age == 250ms));
  BOOST_TEST(over[0].reporters == 9U);
  BOOST_TEST(changes_at(1.6).empty());
  BOOST_TEST(changes_at(1.3).empty());
  const std::vector<ShareChange> below = changes_at(1.0);
  BOOST_REQUIRE(below.size() == 1U);
  BOOST_TEST(!below[0].over);
  BOOST_TEST(changes_at(1.5).size() == 1U);
  load.loads.clear();
  BOOST_TEST(monitor.OnTick().size() == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Which policy the settings select.
#include "front/locality_setting.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::front {
namespace {

struct Row {
  double utilization;  ///< Of the own domain.
  bool share_load;
  config::LocalityMode mode;
  bool leaves;
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << static_cast<int>(row.mode) << " at " << row.utilization;
}

const Row kRows[] = {
    {2.0, true, config::LocalityMode::kLocal, false},
    {2.0, true, config::LocalityMode::kProportional, true},
    {2.0, true, config::LocalityMode::kHeadroom, true},
    {0.8, true, config::LocalityMode::kProportional, false},
    {0.8, true, config::LocalityMode::kHeadroom, false},
    {2.0, false, config::LocalityMode::kProportional, false},
};

// Guards against a bound or a policy that the settings don't reach.
BOOST_DATA_TEST_CASE(settings_select_the_locality, kRows, row) {
  config::FrontLoadSettings settings;
  settings.share_load = row.share_load;
  settings.locality = row.mode;
  settings.leave_at = 0.9;

  const auto locality = MakeLocality(settings);

  BOOST_TEST(locality->MayShare({"north", 1, row.utilization}) == row.leaves);
}

}  // namespace
}  // namespace sassafrasdyke::front

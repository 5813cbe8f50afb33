/// When readings of a target's health amount to a change.
#include "clients/health_hysteresis.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::clients {
namespace {

/// h, s and f stand for readings and for the changes that they lead to; a dot
/// for no change.
struct Readings {
  std::string readings;
  std::string changes;
};

std::ostream& operator<<(std::ostream& out, const Readings& row) {
  return out << row.readings;
}

core::TargetHealth HealthOf(char letter) {
  switch (letter) {
    case 'h':
      return core::TargetHealth::kHealthy;
    case 's':
      return core::TargetHealth::kShedding;
    default:
      return core::TargetHealth::kFailing;
  }
}

char LetterOf(core::TargetHealth health) {
  for (const char letter : {'h', 's', 'f'}) {
    if (HealthOf(letter) == health) {
      return letter;
    }
  }
  return '?';
}

const Readings kReadings[] = {
    {"h", "h"},           {"hhh", "h.."},
    {"ff", ".f"},         {"ss", ".s"},
    {"hfhfhf", "h....."}, {"hff", "h.f"},
    {"hsfsf", "h.s.."},   {"hfs", "h.s"},
    {"hsff", "h.s."},     {"hssff", "h.s.f"},
    {"hffhhh", "h.f..h"}, {"hffhhfhhh", "h.f.....h"},
    {"hffshh", "h.f..s"}, {"hffshhhhh", "h.f..s..h"},
};

// A target on the edge of its strength answers well one time and badly the
// next. If each answer were passed on, every instance would move new flows to
// and fro, and the callers would meet targets that are cold or full.
BOOST_DATA_TEST_CASE(only_readings_that_agree_change_the_state, kReadings,
                     row) {
  HealthHysteresis hysteresis({.fall = 2, .rise = 3});
  std::string changes;
  for (const char letter : row.readings) {
    const auto change = hysteresis.Observe(HealthOf(letter));
    changes += change ? LetterOf(*change) : '.';
  }

  BOOST_TEST(changes == row.changes);
}

}  // namespace
}  // namespace sassafrasdyke::clients

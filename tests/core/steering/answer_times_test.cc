/// Whether the network time to another failure domain outweighs the work.
#include "core/steering/answer_times.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

/// Answers of local (near) and remote (far) targets; the averages are read
/// `read_after` the last of them.
struct Answers {
  std::string name;
  Time near_round_trip;
  Time near_work;
  Time far_round_trip;
  Time far_work;
  Time read_after;
  int near;
  int far;
  bool outweighs;
};

std::ostream& operator<<(std::ostream& out, const Answers& row) {
  return out << row.name;
}

const Answers kAnswers[] = {
    {"quick work, a long way", 26ms, 2ms, 34ms, 2ms, 1ms, 10, 10, true},
    {"a queue at the own", 26ms, 20ms, 34ms, 2ms, 1ms, 10, 10, false},
    {"long work", 26ms, 180ms, 34ms, 180ms, 1ms, 10, 10, false},
    {"a queue elsewhere", 26ms, 2ms, 34ms, 500ms, 1ms, 10, 10, true},
    {"nothing known", 26ms, 2ms, 34ms, 2ms, 1ms, 0, 0, false},
    {"nothing known of others", 26ms, 2ms, 34ms, 2ms, 1ms, 10, 0, false},
    {"little known of others", 26ms, 2ms, 34ms, 2ms, 1ms, 10, 3, false},
    {"flows that were open", 0ms, 2ms, 0ms, 2ms, 1ms, 10, 10, false},
    {"known long ago", 26ms, 2ms, 34ms, 2ms, 60s, 10, 10, false},
};

BOOST_DATA_TEST_CASE(network_time_is_compared_with_time_at_the_target, kAnswers,
                     row) {
  AnswerTimes times;
  const auto answer = [&times](bool near, Time round_trip, Time work) {
    times.OnAnswer("diary", near, {100ms, 2 * round_trip + work, round_trip},
                   200ms);
  };
  for (int i = 0; i < row.near; ++i) {
    answer(true, row.near_round_trip, row.near_work);
  }
  for (int i = 0; i < row.far; ++i) {
    answer(false, row.far_round_trip, row.far_work);
  }

  BOOST_TEST(times.RemoteDetourCostsMore("diary", 200ms + row.read_after) ==
             row.outweighs);
  BOOST_TEST(!times.RemoteDetourCostsMore("menu", 200ms + row.read_after));
}

}  // namespace
}  // namespace sassafrasdyke::core

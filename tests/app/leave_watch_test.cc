/// When a leaving instance ends.
#include "app/leave_watch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::app {
namespace {

using std::chrono::milliseconds;

struct Moment {
  const char* name;
  LeaveProgress progress;
  milliseconds now;
  std::optional<LeaveEnd> end;
};

std::ostream& operator<<(std::ostream& out, const Moment& row) {
  return out << row.name;
}

constexpr milliseconds kLeftAt{10'000};

const Moment kMoments[] = {
    {"not handed over", {false, milliseconds{1000}}, milliseconds{20'000}, {}},
    {"just told, long quiet",
     {true, milliseconds{1000}},
     milliseconds{10'500},
     {}},
    {"packets still come",
     {true, milliseconds{15'000}},
     milliseconds{16'000},
     {}},
    {"quiet",
     {true, milliseconds{15'000}},
     milliseconds{17'000},
     LeaveEnd::kQuiet},
    {"no packet ever",
     {true, milliseconds{0}},
     milliseconds{12'000},
     LeaveEnd::kQuiet},
    {"deadline",
     {false, milliseconds{309'999}},
     milliseconds{310'000},
     LeaveEnd::kDeadline},
};

// An instance is stopped while the fabric still hands it packets. Ending at
// once would cut every feed whose packets are on their way; never ending would
// hold up the replacement.
BOOST_DATA_TEST_CASE(stays_until_it_is_not_needed, kMoments, row) {
  LeaveWatch watch;
  watch.OnLeave(kLeftAt);

  BOOST_CHECK(watch.Ends(row.progress, {}, row.now) == row.end);
}

// A supervisor sends SIGTERM again after a few seconds, as supervisors do.
BOOST_AUTO_TEST_CASE(a_second_order_changes_nothing) {
  LeaveWatch watch;
  watch.OnLeave(kLeftAt);
  watch.OnLeave(milliseconds{11'900});

  const LeaveProgress done{true, milliseconds{0}};
  BOOST_CHECK(watch.Ends(done, {}, milliseconds{12'000}) == LeaveEnd::kQuiet);
}

BOOST_AUTO_TEST_CASE(nobody_ends_without_an_order) {
  const LeaveWatch watch;

  BOOST_CHECK(!watch.Ends({true, {}}, {}, std::chrono::hours{9}));
}

}  // namespace
}  // namespace sassafrasdyke::app

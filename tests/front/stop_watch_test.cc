/// When an instance that was told to stop may end.
#include "front/stop_watch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

struct Moment {
  std::chrono::milliseconds last_packet;
  std::chrono::milliseconds now;
  std::optional<StopEnd> end;
};

std::ostream& operator<<(std::ostream& out, const Moment& row) {
  return out << row.last_packet.count() << " then " << row.now.count();
}

const Moment kMoments[] = {
    {0ms, 1000ms, std::nullopt},  // The routers haven't noticed.
    {900ms, 1500ms, StopEnd::kQuiet},
    {1400ms, 1600ms, std::nullopt},  // Packets still come.
    {1400ms, 1800ms, StopEnd::kQuiet},
    {5400ms, 5450ms, std::nullopt},
    {5499ms, 5500ms, StopEnd::kDeadline},
};

// The routers notice after a second that an instance is leaving. One that ended
// at once would lose the packets that come until then, and each client's
// request would wait for a repeat.
BOOST_DATA_TEST_CASE(it_stays_until_the_routers_send_no_more, kMoments, row) {
  StopWatch stop(6s);
  stop.OnStop(0ms);
  stop.OnPacket(row.last_packet);

  BOOST_TEST((stop.Ends(row.now) == row.end));
}

// An impatient second order must not start the wait anew: the process would be
// killed in the middle.
BOOST_AUTO_TEST_CASE(a_second_order_changes_nothing) {
  StopWatch stop(6s);
  BOOST_TEST(!stop.Ends(100s).has_value());
  stop.OnStop(0ms);
  stop.OnStop(5s);
  stop.OnPacket(5400ms);

  BOOST_TEST((stop.Ends(5500ms) == StopEnd::kDeadline));
}

}  // namespace
}  // namespace sassafrasdyke::front

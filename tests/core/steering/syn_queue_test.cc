/// The order in which queued SYNs are taken, and when they are dropped.
#include "core/steering/syn_queue.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// One SYN that arrives and is queued.
struct ArrivingSyn {
  std::uint16_t port;
  std::uint32_t repeats;
  std::chrono::milliseconds at;
};

struct QueueOrder {
  std::string name;
  std::vector<ArrivingSyn> arriving;
  std::vector<std::uint16_t> order;  ///< At 50 ms, with 100 ms in time.
};

std::ostream& operator<<(std::ostream& out, const QueueOrder& row) {
  return out << row.name;
}

const QueueOrder kQueueOrders[] = {
    {"in time: newest first",
     {{1, 0, 0ms}, {2, 0, 10ms}, {3, 0, 20ms}},
     {3, 2, 1}},
    {"late: oldest first", {{1, 1, 0ms}, {2, 2, 0ms}, {3, 1, 10ms}}, {2, 1, 3}},
    {"in time before late", {{1, 0, 0ms}, {2, 2, 20ms}}, {1, 2}},
    {"a copy takes the place of the first", {{1, 0, 0ms}, {1, 1, 40ms}}, {1}},
};

BOOST_DATA_TEST_CASE(syns_still_in_time_are_taken_first, kQueueOrders, row) {
  SynQueue queue;
  for (const ArrivingSyn& syn : row.arriving) {
    queue.Hold(SteeringScene::Syn(syn.port, syn.repeats), {}, syn.at);
  }

  std::vector<std::uint16_t> order;
  const common::Endpoint route = SteeringScene::Packet(1).flow.service;
  while (const auto next = queue.Take(route, 100ms, 50ms)) {
    order.push_back(next->flow.caller.port);
  }

  BOOST_TEST(order == row.order, boost::test_tools::per_element());
  BOOST_TEST(queue.Size() == 0U);
}

struct Copy {
  std::uint32_t repeats;
  std::chrono::milliseconds dropped_after;
};

std::ostream& operator<<(std::ostream& out, const Copy& row) {
  return out << row.repeats;
}

const Copy kCopies[] = {{0, 180ms}, {1, 380ms}, {2, 780ms}, {7, 780ms}};

// A client retransmits its SYN after 200 and 600 ms, perhaps to other
// instances. The queued one is dropped before the next copy is sent, so that no
// two of them go to different targets.
BOOST_DATA_TEST_CASE(a_syn_is_dropped_before_its_next_copy, kCopies, row) {
  SynQueue queue;
  queue.Hold(SteeringScene::Syn(1, row.repeats), {}, 1000ms);

  BOOST_TEST(queue.Expire(1000ms + row.dropped_after - 1ms) == 0U);
  BOOST_TEST(queue.Expire(1000ms + row.dropped_after) == 1U);
  BOOST_TEST(queue.Size() == 0U);
}

// A SYN whose next copy is due is not forwarded, even if Expire has not run in
// between.
BOOST_AUTO_TEST_CASE(a_superseded_syn_is_not_taken) {
  SynQueue queue;
  queue.Hold(SteeringScene::Syn(1), {}, 0ms);
  queue.Hold(SteeringScene::Syn(2), {}, 150ms);

  const common::Endpoint route = SteeringScene::Packet(1).flow.service;
  const auto taken = queue.Take(route, 0ms, 200ms);

  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->flow.caller.port == 2U);
}

// Guards against a SYN flood that exhausts memory.
BOOST_AUTO_TEST_CASE(the_syn_queue_is_bounded) {
  SynQueue queue;
  std::uint16_t port = 1;
  while (queue.Hold(SteeringScene::Syn(port), {}, 0ms)) {
    ++port;
    BOOST_REQUIRE(port < 10'000);
  }
  BOOST_TEST(queue.Size() == 1024U);
}

}  // namespace
}  // namespace sassafrasdyke::core

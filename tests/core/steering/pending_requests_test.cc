/// Which requests count as in flight at targets.
#include "core/steering/pending_requests.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr TargetIndex kTarget{1};
constexpr TargetIndex kOther{2};

common::FlowKey Flow(std::uint16_t port) {
  return SteeringScene::Packet(port).flow;
}

BOOST_AUTO_TEST_CASE(a_request_counts_until_its_answer) {
  PendingRequests pending;
  pending.OnPlaced(Flow(1), kTarget, 0ms);
  pending.OnRequest(Flow(1), kTarget, 2ms);
  BOOST_TEST(pending.CountAt(kTarget) == 1U);

  const auto took = pending.OnAnswer(Flow(1), true, 24ms);

  BOOST_REQUIRE(took.has_value());
  BOOST_TEST(took->took.count() == 24);
  BOOST_TEST(pending.CountAt(kTarget) == 0U);
  BOOST_TEST(pending.AnswerTime().count() == 24);
}

// A retransmitted SYN went to another target: the flow must not count at the
// first one any more.
BOOST_AUTO_TEST_CASE(a_flow_counts_at_one_target) {
  PendingRequests pending;
  pending.OnPlaced(Flow(1), kTarget, 0ms);
  pending.OnPlaced(Flow(1), kOther, 200ms);

  BOOST_TEST(pending.CountAt(kTarget) == 0U);
  BOOST_TEST(pending.CountAt(kOther) == 1U);
}

// A target has crashed with requests in flight. Counted for ever, they would
// keep new flows from the remaining targets.
BOOST_AUTO_TEST_CASE(an_unanswered_request_stops_counting) {
  PendingRequests pending;
  pending.OnRequest(Flow(1), kTarget, 0ms);
  pending.Expire(149ms);
  BOOST_TEST(pending.CountAt(kTarget) == 1U);

  pending.Expire(150ms);

  BOOST_TEST(pending.CountAt(kTarget) == 0U);
}

// A target is slow, not dead, and works on a request for seconds. The request
// must stay unanswered at the target until it expires.
BOOST_AUTO_TEST_CASE(a_request_stays_unanswered_for_longer_than_it_counts) {
  PendingRequests pending;
  pending.OnPlaced(Flow(1), kTarget, 0ms);
  pending.OnRequest(Flow(1), kTarget, 2ms);
  pending.Expire(1999ms);
  BOOST_TEST(pending.CountAt(kTarget) == 0U);
  BOOST_TEST(pending.UnansweredAt(kTarget) == 1U);

  pending.Expire(2000ms);

  BOOST_TEST(pending.UnansweredAt(kTarget) == 0U);
}

// Answers take 5 ms, and a request whose short answer is not acknowledged is
// served as soon. It counts for 30 ms, not for 150.
BOOST_AUTO_TEST_CASE(quick_targets_are_counted_briefly) {
  PendingRequests pending;
  for (std::uint16_t port = 1; port < 50; ++port) {
    pending.OnRequest(Flow(port), kTarget, 0ms);
    pending.OnAnswer(Flow(port), true, 5ms);
  }
  pending.OnRequest(Flow(100), kTarget, 10ms);

  pending.Expire(39ms);
  BOOST_TEST(pending.CountAt(kTarget) == 1U);
  pending.Expire(40ms);
  BOOST_TEST(pending.CountAt(kTarget) == 0U);
}

struct AnswerTimeRow {
  std::chrono::milliseconds answer;
  std::chrono::milliseconds counted;
};

std::ostream& operator<<(std::ostream& out, const AnswerTimeRow& row) {
  return out << row.answer.count() << " ms";
}

const AnswerTimeRow kAnswerTimes[] = {
    {20ms, 80ms}, {300ms, 1200ms}, {900ms, 2000ms}};

// Guards against a limit that bounds nothing where work is long: requests that
// targets still have must go on counting.
BOOST_DATA_TEST_CASE(a_request_counts_for_a_multiple_of_the_answer_time,
                     kAnswerTimes, row) {
  PendingRequests pending;
  for (std::uint16_t port = 1; port < 50; ++port) {
    pending.OnRequest(Flow(port), kTarget, 0ms);
    pending.OnAnswer(Flow(port), true, row.answer);
  }
  pending.OnRequest(Flow(100), kTarget, 1000ms);

  pending.Expire(1000ms + row.counted - 1ms);
  BOOST_TEST(pending.CountAt(kTarget) == 1U);
  pending.Expire(1000ms + row.counted);
  BOOST_TEST(pending.CountAt(kTarget) == 0U);
}

// All answers fit into one packet, which clients acknowledge only with their
// next request. The counts are then meaningless, which must be detected.
BOOST_AUTO_TEST_CASE(unseen_answers_are_detected) {
  PendingRequests pending;
  BOOST_TEST(pending.MostAnswersSeen());
  for (int i = 0; i < 30; ++i) {
    pending.OnRequest(Flow(1), kTarget, i * 1s);
    pending.OnAnswer(Flow(1), false, i * 1s + 900ms);
  }
  BOOST_TEST(!pending.MostAnswersSeen());
  for (int i = 0; i < 30; ++i) {
    pending.OnRequest(Flow(1), kTarget, i * 1s);
    pending.OnAnswer(Flow(1), true, i * 1s + 20ms);
  }
  BOOST_TEST(pending.MostAnswersSeen());
}

// A closed flow has nothing pending, and a flood of flows is bounded.
BOOST_AUTO_TEST_CASE(ended_flows_and_floods_are_bounded) {
  PendingRequests pending;
  pending.OnRequest(Flow(1), kTarget, 0ms);
  pending.OnEnd(Flow(1));
  BOOST_TEST(pending.CountAt(kTarget) == 0U);

  for (std::uint16_t port = 1; port < 20'000; ++port) {
    pending.OnRequest(Flow(port), kTarget, 0ms);
  }
  BOOST_TEST(pending.CountAt(kTarget) <= 8192U);
  pending.Expire(3s);
  pending.OnRequest(Flow(1), kTarget, 3s);
  BOOST_TEST(pending.CountAt(kTarget) == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::core

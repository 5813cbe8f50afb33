/// Which of the queued SYNs leaves next, and which is refused.
#include "core/steering/syn_order.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/steering/departure_rate.h"
#include "core/steering/held_copies.h"
#include "core/steering/overload_policy.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

FlowPacket SynOf(std::uint32_t caller, std::uint16_t port, std::uint32_t rank,
                 std::uint32_t repeats = 0) {
  FlowPacket syn = SteeringScene::Syn(port, repeats);
  syn.flow.caller.address = common::IpAddress::FromV4(0x64400000 + caller);
  syn.flow.service.address =
      common::IpAddress::FromV4(syn.flow.service.address.V4() + rank);
  return syn;
}

/// A queue of SYNs of three ranks, each with a route.
struct OrderScene {
  OrderScene() {
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
      this->routes.push_back({SynOf(1, 1, rank).flow.service, rank, 100ms});
    }
  }
  void Hold(std::uint32_t caller, std::uint16_t port, std::uint32_t rank,
            Time at) {
    this->queue.Hold(SynOf(caller, port, rank), {}, at);
  }
  std::vector<std::uint16_t> TakeAll(Time now) {
    std::vector<std::uint16_t> ports;
    while (const auto syn =
               this->order.TakeNext(this->queue, this->routes, now)) {
      ports.push_back(syn->flow.caller.port);
    }
    return ports;
  }

  SynQueue queue;
  FairOrder order;
  std::vector<WaitingRoute> routes;
};

// Guards against starvation of the lower ranks while the most urgent alone
// exceeds the capacity: one of eight SYNs is of the rank, other than the most
// urgent one, whose oldest SYN has waited longest.
BOOST_AUTO_TEST_CASE(lower_ranks_get_one_of_eight_turns) {
  OrderScene scene;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    scene.Hold(port, port, 0, 10ms);
  }
  scene.Hold(1, 1001, 1, 20ms);
  scene.Hold(2, 1002, 2, 5ms);
  const auto ports = scene.TakeAll(50ms);

  BOOST_REQUIRE(ports.size() == 42U);
  BOOST_TEST(ports[7] == 1002);
  BOOST_TEST(ports[15] == 1001);
}

// Guards against a rank that never gets a turn since the one above it is
// overloaded as well and an old SYN of that stays in the queue.
BOOST_AUTO_TEST_CASE(ranks_below_the_most_urgent_take_turns) {
  OrderScene scene;
  for (std::uint16_t port = 1; port <= 100; ++port) {
    scene.Hold(port, port, 0, 200ms);
    scene.Hold(port, 1000 + port, 1, port == 1 ? 0ms : 200ms);
    scene.Hold(port, 2000 + port, 2, 200ms);
  }
  int lowest = 0;
  for (int turn = 0; turn < 32; ++turn) {
    const auto syn = scene.order.TakeNext(scene.queue, scene.routes, 210ms);
    lowest += syn->flow.caller.port > 2000 ? 1 : 0;
  }

  BOOST_TEST(lowest == 2);
}

// Guards against a rank that never gets a turn since one of its SYNs waits at a
// time, which gives up before the most urgent rank has had its seven turns.
BOOST_AUTO_TEST_CASE(turns_are_counted_across_syns_that_give_up) {
  OrderScene scene;
  for (std::uint16_t port = 1; port <= 100; ++port) {
    scene.Hold(port, port, 0, 10ms);
  }
  int taken = 0;
  for (std::uint16_t port = 1001; port <= 1004; ++port) {
    scene.Hold(1, port, 1, 10ms);
    for (int turn = 0; turn < 4; ++turn) {
      const auto syn = scene.order.TakeNext(scene.queue, scene.routes, 50ms);
      BOOST_REQUIRE(syn.has_value());
      taken += syn->flow.caller.port > 1000 ? 1 : 0;
    }
    scene.queue.Forget(SynOf(1, port, 1).flow);
    scene.order.TakeNext(scene.queue, scene.routes, 50ms);
  }

  BOOST_TEST(taken == 2);
}

// Guards against a caller that gets most slots because it opens most flows. Its
// SYNs are the newest, so the order within a route alone would serve them
// first.
BOOST_AUTO_TEST_CASE(callers_take_turns) {
  OrderScene scene;
  for (std::uint16_t i = 1; i <= 20; ++i) {
    scene.Hold(i, i, 0, 0ms);
  }
  for (std::uint16_t i = 0; i < 40; ++i) {
    scene.Hold(99, 1000 + i, 0, 10ms);
  }
  auto ports = scene.TakeAll(50ms);

  // A turn is of four SYNs.
  ports.resize(24);
  BOOST_TEST(std::ranges::count_if(
                 ports, [](std::uint16_t port) { return port < 1000; }) == 20);
}

struct LateRow {
  std::string name;
  std::vector<std::pair<std::uint16_t, Time>> arriving;  ///< Port and time.
  std::vector<std::uint16_t> order;                      ///< At 150 ms.
};

std::ostream& operator<<(std::ostream& out, const LateRow& row) {
  return out << row.name;
}

const LateRow kLate[] = {
    {"in time: newest first", {{1, 60ms}, {2, 70ms}, {3, 80ms}}, {3, 2, 1}},
    {"late: oldest first", {{1, 0ms}, {2, 10ms}, {3, 20ms}}, {1, 2, 3}},
    {"in time before late", {{1, 0ms}, {2, 60ms}}, {2, 1}},
    {"superseded ones don't leave", {{1, -100ms}, {2, 60ms}}, {2}},
};

BOOST_DATA_TEST_CASE(a_callers_syns_in_time_go_first, kLate, row) {
  OrderScene scene;
  for (const auto& [port, at] : row.arriving) {
    scene.Hold(1, port, 0, at);
  }
  // What leaves is what the line says.
  std::vector<std::uint16_t> line;
  for (const SynPlace& place :
       scene.order.Line(scene.queue, scene.routes, 150ms)) {
    line.push_back(place.flow.caller.port);
  }

  BOOST_TEST(line == row.order, boost::test_tools::per_element());
  BOOST_TEST(scene.TakeAll(150ms) == row.order,
             boost::test_tools::per_element());
}

// A lower rank's place counts its turns: it waits behind eight for each of its
// own, or behind all that are more urgent if those are fewer.
BOOST_AUTO_TEST_CASE(places_count_the_turns_of_lower_ranks) {
  OrderScene scene;
  for (std::uint16_t port = 1; port <= 20; ++port) {
    scene.Hold(port, port, 0, 10ms);
  }
  scene.Hold(1, 1001, 1, 20ms);
  scene.Hold(2, 1002, 1, 10ms);
  scene.Hold(3, 1003, 1, 10ms);
  const auto line = scene.order.Line(scene.queue, scene.routes, 50ms);

  BOOST_REQUIRE(line.size() == 23U);
  BOOST_TEST(line[20].Ahead() == 7U);
  BOOST_TEST(line[21].Ahead() == 15U);
  BOOST_TEST(line[22].Ahead() == 22U);
}

struct OutlookRow {
  std::string name;
  SynOutlook syn;
  OverloadReason reason;
};

std::ostream& operator<<(std::ostream& out, const OutlookRow& row) {
  return out << row.name;
}

// With 50 SYNs a second, 20 ahead take 400 ms.
const OutlookRow kOutlooks[] = {
    {"served in time", {20, 900ms, 50, true}, OverloadReason::kCanBeServed},
    {"too late", {20, 1100ms, 50, true}, OverloadReason::kCannotBeServed},
    {"rate unknown",
     {1000, 1100ms, std::nullopt, true},
     OverloadReason::kRateUnknown},
    {"a copy may be elsewhere",
     {20, 1100ms, 50, false},
     OverloadReason::kMaybeForwarded},
    {"next, though nothing leaves",
     {0, 1300ms, 0, true},
     OverloadReason::kCanBeServed},
    {"behind others, nothing leaves",
     {2, 0ms, 0, true},
     OverloadReason::kCannotBeServed},
};

BOOST_DATA_TEST_CASE(syns_that_cannot_be_served_are_refused, kOutlooks, row) {
  const OverloadDecision decision = RefuseHopeless().Judge(row.syn);

  BOOST_TEST((decision.reason == row.reason));
  BOOST_TEST(decision.refuse ==
             (row.reason == OverloadReason::kCannotBeServed));
  BOOST_TEST(!HoldAll().Judge(row.syn).refuse);
}

struct RateRow {
  Time waiting_from;
  Time waiting_until;
  Time waits;                   ///< Of every 20 ms.
  bool leave;                   ///< Whether a SYN leaves every 20 ms meanwhile.
  std::optional<double> per_s;  ///< At 2,000 ms.
};

std::ostream& operator<<(std::ostream& out, const RateRow& row) {
  return out << row.waiting_from.count() << " to " << row.waiting_until.count();
}

// At least three leave in the time, which the first tenth of a second isn't
// part of.
const RateRow kRates[] = {
    {1000ms, 2000ms, 20ms, true, 45 / 0.9},
    {1500ms, 2000ms, 20ms, true, 50.0},
    {1600ms, 2000ms, 20ms, true, std::nullopt},
    {1100ms, 1600ms, 20ms, true, 50.0},
    {0ms, 1200ms, 20ms, true, std::nullopt},
    {1000ms, 2000ms, 4ms, true, std::nullopt},
    {1000ms, 2000ms, 20ms, false, 3 / 0.9},
    {1500ms, 2000ms, 20ms, false, 6.0},
};

// Guards against refusals by the rate of a few SYNs: for the first half second
// of a burst it isn't known, nor while most flows are admitted past the queue.
// Guards also against the refusal of a whole queue after half a second without
// a departure.
BOOST_DATA_TEST_CASE(the_rate_needs_half_a_second, kRates, row) {
  DepartureRate rate;
  for (Time at = row.waiting_from; at < row.waiting_until; at += 20ms) {
    rate.OnQueue(true, at);
    if (row.leave) {
      rate.OnLeft(at);
    }
    rate.OnQueue(false, at + row.waits);
  }

  BOOST_TEST((rate.PerSecond(2000ms) == row.per_s));
}

struct CopiesRow {
  std::vector<std::uint32_t> repeats;  ///< Of the copies that were queued here.
  bool has_all;
};

std::ostream& operator<<(std::ostream& out, const CopiesRow& row) {
  for (const std::uint32_t repeats : row.repeats) {
    out << repeats << ' ';
  }
  return out;
}

const CopiesRow kCopies[] = {
    {{0}, true},
    {{0, 1}, true},
    {{0, 1, 2}, true},
    {{0, 0}, true},
    {{1}, false},
    {{0, 2}, false},
    {{1, 2}, false},
    {{}, false},
    // The second first copy is another flow's with the same key.
    {{0, 1, 0, 2}, false},
    {{0, 1, 0, 1}, true},
};

// Guards against untrue refusals: a copy that another instance got may have
// opened the flow.
BOOST_DATA_TEST_CASE(only_flows_with_all_copies_here_are_refused, kCopies,
                     row) {
  HeldCopies copies;
  Time now = 1000ms;
  for (const std::uint32_t repeats : row.repeats) {
    copies.OnHeld(SynOf(1, 1, 0, repeats), now += 200ms);
  }

  BOOST_TEST(copies.HasAll(SynOf(1, 1, 0).flow) == row.has_all);
  copies.Expire(now + kSynLife + 1ms);
  BOOST_TEST(!copies.HasAll(SynOf(1, 1, 0).flow));
}

}  // namespace
}  // namespace sassafrasdyke::core

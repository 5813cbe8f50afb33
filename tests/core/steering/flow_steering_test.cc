/// Decisions about packets while targets join, leave and stop answering.
#include "core/steering/flow_steering.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// Two targets in the own domain, one in another.
struct Scene : SteeringScene {
  Scene() {
    this->Configure("1 198.18.0.1:443=diary", 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80", 0ms);
    this->Publish("a2", "diary north 10.0.0.2:80", 0ms);
    this->Publish("b1", "diary south 10.0.1.1:80", 0ms);
  }
};

BOOST_AUTO_TEST_CASE(any_instance_forwards_by_the_word) {
  Scene one;
  Scene other;
  const std::uint32_t word =
      one.WordOf(one.steering.OnPacket(SteeringScene::Syn(1000), 10ms));

  const auto action =
      other.steering.OnPacket(SteeringScene::Data(1000, word), 20ms);

  BOOST_TEST(other.WordOf(action) == word);
  BOOST_TEST(WordOf(action) == "carried");
}

BOOST_AUTO_TEST_CASE(new_flows_are_shared_among_the_own_domains_targets) {
  Scene scene;
  int first = 0;
  for (std::uint16_t port = 1000; port < 1100; ++port) {
    const std::uint32_t word =
        scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(port), 10ms));
    BOOST_TEST(word != 0xB1U);
    first += word == 0xA1U ? 1 : 0;
  }
  BOOST_TEST(first == 50);
}

struct Loss {
  std::string change;  ///< Of each target of the own domain.
  std::string reason;  ///< Of the next new flow.
};

std::ostream& operator<<(std::ostream& out, const Loss& row) {
  return out << row.change;
}

const Loss kLosses[] = {
    {"diary north 10.0.0.1:80", "local"},
    {"diary north 10.0.0.1:80 draining", "spilled"},
    {"bytes", "spilled"},
};

// Every target of the own domain is leaving, or its entry was overwritten. New
// flows go to another domain, and none is refused while any target can serve.
BOOST_DATA_TEST_CASE(new_flows_leave_the_domain_only_when_it_has_no_target,
                     kLosses, row) {
  Scene scene;
  scene.Publish("a1", row.change, 10ms);
  scene.Remove("a2", 10ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 20ms)) ==
             row.reason);
}

// No target is left. Without a reset the client would wait 1.4 s for its
// attempt to fail.
BOOST_AUTO_TEST_CASE(a_flow_without_any_target_is_refused_at_once) {
  Scene scene;
  for (const std::string id : {"a1", "a2", "b1"}) {
    scene.Remove(id, 10ms);
  }

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 20ms)) ==
             "no-target");
}

// An instance starts just after the store has recovered, as peers have told it.
// All entries have lapsed meanwhile, and the serving targets will register
// again within two seconds. A reset would fail attempts that another instance,
// or this one a moment later, can serve.
BOOST_AUTO_TEST_CASE(no_flow_is_refused_while_targets_register_again) {
  SteeringScene scene;
  scene.Configure("1 198.18.0.1:443=diary", 0ms);
  scene.view.Contact().OnReturn(0ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 20ms)) ==
             "stale-view");
  scene.view.Contact().OnAnswer(3000ms);
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1001),
                                            3000ms)) == "no-target");
}

struct Unknown {
  std::chrono::milliseconds age;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const Unknown& row) {
  return out << row.age.count() << " ms";
}

const Unknown kUnknownRoutes[] = {{100ms, "no-route"}, {10s, "stale-view"}};

// An instance without updates for ten seconds gets a packet of an unknown
// route, which may have been added meanwhile. A reset would fail the client's
// attempt on a guess; after a silent drop the client retransmits.
BOOST_DATA_TEST_CASE(packets_of_unknown_routes_are_not_reset_with_a_stale_view,
                     kUnknownRoutes, row) {
  Scene scene;
  FlowPacket packet = SteeringScene::Syn(1000);
  packet.flow.service = *common::Endpoint::Parse("198.18.0.9:443");

  BOOST_TEST(WordOf(scene.steering.OnPacket(packet, row.age)) == row.outcome);
}

// A route is withdrawn. Its flows are reset, so that clients don't wait for
// answers that the operator no longer wants given.
BOOST_AUTO_TEST_CASE(flows_of_a_withdrawn_route_are_reset) {
  Scene scene;
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 10ms);
  scene.Configure("2", 1000ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            1010ms)) == "no-route");
}

/// A packet of an open flow on a route that the view lacks. Packets of the flow
/// have come since 1000 ms; the view was last confirmed then.
struct LackedRouteRow {
  std::string name;
  std::uint32_t word;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const LackedRouteRow& row) {
  return out << row.name;
}

const LackedRouteRow kLackedRoutes[] = {
    {"at once", 0xA1, 1000ms, std::nullopt, "carried"},
    {"before a confirmation", 0xA1, 2900ms, std::nullopt, "carried"},
    {"soon after a confirmation", 0xA1, 1500ms, 1400ms, "carried"},
    {"a view that shows there is none", 0xA1, 1600ms, 1500ms, "no-route"},
    {"an unknown target, at once", 0xC1, 1000ms, std::nullopt,
     "unknown-target"},
    {"an unknown target, later", 0xC1, 1600ms, 1500ms, "no-route"},
};

// Guards against resetting an open flow because this instance learns later than
// another one of the route on which that one has opened it.
BOOST_DATA_TEST_CASE(an_open_flow_outlives_a_view_without_its_route,
                     kLackedRoutes, row) {
  Scene scene;
  const auto packet = [&row] {
    FlowPacket packet = SteeringScene::Data(1000, row.word);
    packet.flow.service = *common::Endpoint::Parse("198.18.0.9:443");
    return packet;
  };
  scene.view.Contact().OnAnswer(1000ms);
  std::string outcome(WordOf(scene.steering.OnPacket(packet(), 1000ms)));
  if (row.confirmed_at) {
    scene.view.Contact().OnAnswer(*row.confirmed_at);
  }
  if (row.at > 1000ms) {
    outcome = WordOf(scene.steering.OnPacket(packet(), row.at));
  }
  BOOST_TEST(outcome == row.outcome);

  if (row.word == 0xA1) {
    scene.Configure("2 198.18.0.1:443=diary 198.18.0.9:443=diary", row.at);
    BOOST_TEST(WordOf(scene.steering.OnPacket(packet(), row.at)) == "carried");
  }
}

struct LaterFlowRow {
  std::string name;
  std::string route;
  std::uint32_t word;
  std::string ended;    ///< The outcome for a flow that has ended.
  std::string outcome;  ///< That for another flow's first packet.
};

std::ostream& operator<<(std::ostream& out, const LaterFlowRow& row) {
  return out << row.name;
}

const LaterFlowRow kLaterFlows[] = {
    {"a route", "198.18.0.9:443", 0xA1, "no-route", "carried"},
    {"a target", "198.18.0.1:443", 0xC1, "target-gone", "unknown-target"}};

// Guards against resetting an open flow because an earlier one has ended: its
// route or target may have been published again since.
BOOST_DATA_TEST_CASE(the_end_of_a_flow_shows_nothing_about_later_ones,
                     kLaterFlows, row) {
  Scene scene;
  const auto outcome = [&](std::uint16_t port, std::chrono::milliseconds now) {
    FlowPacket packet = SteeringScene::Data(port, row.word);
    packet.flow.service = *common::Endpoint::Parse(row.route);
    return WordOf(scene.steering.OnPacket(packet, now));
  };
  outcome(1000, 1000ms);
  scene.view.Contact().OnAnswer(1600ms);
  BOOST_TEST(outcome(1000, 1700ms) == row.ended);

  BOOST_TEST(outcome(1001, 1800ms) == row.outcome);
}

// A target's SYN-ACK that is misrouted to an instance must never reach a
// target, which would take it for a forged one.
BOOST_AUTO_TEST_CASE(a_syn_ack_is_dropped) {
  Scene scene;
  FlowPacket packet = SteeringScene::Syn(1000);
  packet.flags.ack = true;

  BOOST_TEST(WordOf(scene.steering.OnPacket(packet, 10ms)) == "not-a-clients");
}

struct Repeat {
  std::chrono::milliseconds after;
  bool pause;
  std::string reason;
};

std::ostream& operator<<(std::ostream& out, const Repeat& row) {
  return out << row.after.count() << " ms";
}

const Repeat kRepeats[] = {
    {200ms, false, "retried-elsewhere"},
    {20ms, false, "repeated"},
    {200ms, true, "repeated"},
};

// A target has just crashed and leaves a SYN unanswered. The client retransmits
// it after 200 ms; sent to the dead target again, the attempt would fail after
// 1.4 s. But two copies that were queued together in the socket of a paused
// process are no evidence against the target, and must not open the flow at two
// targets.
BOOST_DATA_TEST_CASE(a_retransmitted_syn_goes_to_another_target, kRepeats,
                     row) {
  Scene scene;
  const std::uint32_t first =
      scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 10ms));
  if (row.pause) {
    scene.steering.OnPause(10ms + row.after);
  }

  const auto action =
      scene.steering.OnPacket(SteeringScene::Syn(1000, 1), 10ms + row.after);

  BOOST_TEST(WordOf(action) == row.reason);
  BOOST_TEST((scene.WordOf(action) == first) == (row.reason == "repeated"));
}

struct RerouteRow {
  std::chrono::milliseconds after;  ///< Of the copy, after the one before.
  bool retried;  ///< An earlier copy went to a second target.
};

std::ostream& operator<<(std::ostream& out, const RerouteRow& row) {
  return out << row.after.count() << " ms" << (row.retried ? ", retried" : "");
}

const RerouteRow kReroutes[] = {{20ms, false}, {200ms, false}, {400ms, true}};

// Guards against opening a flow at a service that its route no longer uses: a
// configuration comes into force between two copies of the SYN.
BOOST_DATA_TEST_CASE(a_repeated_syn_follows_the_route_in_force, kReroutes,
                     row) {
  Scene scene;
  auto now = 10ms;
  scene.steering.OnPacket(SteeringScene::Syn(1000), now);
  if (row.retried) {
    now += 200ms;
    scene.steering.OnPacket(SteeringScene::Syn(1000, 1), now);
  }
  scene.Publish("c1", "menu north 10.0.0.3:80", now);
  scene.Configure("2 198.18.0.1:443=menu", now);

  now += row.after;
  const auto action = scene.steering.OnPacket(SteeringScene::Syn(1000, 2), now);

  BOOST_TEST(scene.WordOf(action) == 0xC1U);
}

// New flows avoid a target that left a SYN unanswered, until the suspicion
// ends.
BOOST_AUTO_TEST_CASE(a_target_that_missed_a_syn_is_avoided_for_a_while) {
  Scene scene;
  const std::uint32_t missed =
      scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 10ms));
  scene.steering.OnPacket(SteeringScene::Syn(1000, 1), 210ms);
  for (std::uint16_t port = 2000; port < 2010; ++port) {
    BOOST_TEST(scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(port),
                                                    300ms)) != missed);
  }
  BOOST_TEST(!scene.steering.Watch().Suspected(scene.IndexOf(missed), 800ms));
}

// The only target left is suspected. Using it is better than refusing the flow.
BOOST_AUTO_TEST_CASE(a_suspected_target_is_used_when_there_is_no_other) {
  Scene scene;
  scene.Remove("a2", 0ms);
  scene.Remove("b1", 0ms);
  scene.steering.OnPacket(SteeringScene::Syn(1000), 10ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000, 1),
                                            210ms)) == "retried-elsewhere");
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1001), 220ms)) ==
             "suspected-only");
}

// Another instance has placed a flow at a target that this one hasn't learnt of
// yet. The client's packet must not be answered by a reset; a moment later the
// view has the target.
BOOST_AUTO_TEST_CASE(a_packet_with_an_unknown_word_is_not_reset_at_once) {
  Scene scene;
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1),
                                            100ms)) == "unknown-target");
  scene.Publish("c1", "diary north 10.0.0.3:80", 200ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1),
                                            300ms)) == "carried");
}

struct StillUnknown {
  bool fresh;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const StillUnknown& row) {
  return out << (row.fresh ? "fresh" : "stale");
}

const StillUnknown kStillUnknown[] = {{true, "target-gone"},
                                      {false, "unknown-target"}};

// A target ended before this instance started, and its clients still send to
// it. Once a fresh view has lacked it for long enough, they are reset. An
// instance without updates drops the packets silently, as it may lack the
// target for that reason.
BOOST_DATA_TEST_CASE(a_word_that_stays_unknown_is_reset_only_with_a_fresh_view,
                     kStillUnknown, row) {
  Scene scene;
  scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1), 100ms);
  if (row.fresh) {
    scene.view.Contact().OnAnswer(3500ms);
  }

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1),
                                            3600ms)) == row.outcome);
}

// A target crashes and its entry lapses. Its clients are reset with their next
// packet instead of waiting for their deadlines, but not within a second of the
// removal: a target that leaves as planned serves its last flows a little
// longer than its entry exists.
BOOST_AUTO_TEST_CASE(flows_of_a_target_that_is_gone_are_reset) {
  Scene scene;
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 4000ms);
  scene.Remove("a1", 5000ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            5100ms)) == "carried");
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            6100ms)) == "target-gone");
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1),
                                            6100ms)) == "carried");
}

// A target is cut off from the store only, so its entry lapses, and it goes on
// answering. Clients' acknowledgements show that; its flows are left alone.
BOOST_AUTO_TEST_CASE(a_target_that_still_answers_keeps_its_flows) {
  Scene scene;
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 4000ms);
  scene.Remove("a1", 5000ms);
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 5200ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            5300ms)) == "carried");
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            6500ms)) == "target-gone");
}

/// A request on a flow of a target at whose address another one is published
/// `started_later` after its start.
struct SharedAddressRow {
  std::optional<std::chrono::milliseconds> started_later;
  bool answers;  ///< A client acknowledges an answer of the flow's target.
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const SharedAddressRow& row) {
  out << (row.answers ? "answers, " : "");
  return row.started_later ? out << row.started_later->count() << " ms later"
                           : out << "no start published";
}

const SharedAddressRow kSharedAddresses[] = {
    {9000ms, false, "target-gone"}, {9000ms, true, "carried"},
    {-9000ms, false, "carried"},    {3000ms, false, "carried"},
    {-3000ms, false, "carried"},    {std::nullopt, false, "target-gone"},
    {std::nullopt, true, "carried"}};

// Guards against resetting flows of a live target, and against clients that
// wait for a crashed one: another target's entry at its address ends its flows
// only if that target started later, and it hasn't answered since.
BOOST_DATA_TEST_CASE(a_shared_address_ends_flows_of_the_earlier_target_only,
                     kSharedAddresses, row) {
  const auto text = [&row](std::chrono::milliseconds start) {
    const std::string target = "diary north 10.0.0.9:80";
    return row.started_later
               ? target + " start=" + std::to_string(start.count())
               : target;
  };
  Scene scene;
  scene.Publish("c1", text(20'000ms), 1000ms);
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xC1), 1400ms);
  scene.Publish("c2", text(20'000ms + row.started_later.value_or(0ms)), 2000ms);
  if (row.answers) {
    scene.steering.OnPacket(SteeringScene::Ack(1000, 0xC1), 2100ms);
  }

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1),
                                            2200ms)) == row.outcome);
}

// A word of a target whose service the route never used is a client's error or
// forged; the packet must not reach that service.
BOOST_AUTO_TEST_CASE(a_packet_with_a_word_of_another_service_is_dropped) {
  Scene scene;
  scene.Publish("c1", "menu north 10.0.0.3:80", 0ms);
  scene.view.Contact().OnAnswer(70s);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xC1),
                                            70s)) == "other-service");
}

// A target crashes. Requests on its open flows are retransmitted without an
// answer and probes fail; from then on clients are reset at once. Idle flows
// are reset too, so that the next booking on them isn't lost.
BOOST_AUTO_TEST_CASE(flows_of_a_silent_target_are_reset_after_failed_probes) {
  Scene scene;
  scene.steering.OnPacket(SteeringScene::Ack(2000, 0xA1), 0ms);
  scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1), 1000ms);
  BOOST_TEST(scene.steering.Watch().TakeProbes(1010ms).empty());
  scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1), 1200ms);
  const TargetIndex target = scene.IndexOf(0xA1);
  for (const auto at : {1200ms, 1500ms}) {
    const auto probes = scene.steering.Watch().TakeProbes(at);
    BOOST_REQUIRE(probes.size() == 1U);
    BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                              at)) == "carried");
    scene.steering.Watch().OnProbed(target, ProbeOutcome::kSilent, at,
                                    at + 200ms);
  }
  scene.view.Contact().OnAnswer(1750ms);

  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1),
                                            1800ms)) == "target-silent");
  const auto told = scene.steering.TakeEndedFlows(target, 1800ms);
  BOOST_TEST(told.size() == 2U);
  BOOST_TEST(scene.steering.TakeEndedFlows(target, 1800ms).empty());
}

/// Counts what an observer is told.
struct CountingObserver final : public RequestObserver {
  void OnOpening(TargetIndex /*target*/,
                 std::chrono::milliseconds /*now*/) override {
    ++this->openings;
  }
  void OnRequest(TargetIndex /*target*/,
                 std::chrono::milliseconds /*now*/) override {
    ++this->requests;
  }
  void OnAnswer(TargetIndex /*target*/, const AnswerTiming& /*timing*/,
                std::chrono::milliseconds /*now*/) override {
    ++this->answers;
  }
  void OnUnanswered(TargetIndex /*target*/,
                    std::chrono::milliseconds /*now*/) override {
    ++this->failures;
  }
  void OnClientReset(TargetIndex /*target*/,
                     std::chrono::milliseconds /*now*/) override {
    ++this->failures;
  }
  void OnPause(std::chrono::milliseconds /*now*/) override {}

  int openings{0};
  int requests{0};
  int answers{0};
  int failures{0};
};

/// What a client sends on one flow after the SYN: `d` a request, `r` the same
/// again, `a` an acknowledgement of new data, `f` a FIN, `x` a reset, `X` a
/// reset that acknowledges new data.
struct ObservedFlow {
  std::string packets;
  int requests;  ///< After the first.
  int failures;
};

std::ostream& operator<<(std::ostream& out, const ObservedFlow& row) {
  return out << row.packets;
}

const ObservedFlow kObservedFlows[] = {
    {"daf", 0, 0},    {"drrrx", 0, 1}, {"dx", 0, 1},  {"dax", 0, 0},
    {"dX", 0, 0},     {"drax", 0, 1},  {"dad", 1, 0}, {"dadrx", 1, 1},
    {"drdrrx", 1, 2}, {"df", 0, 0}};

// Guards against a failed request that counts with each of its copies, and
// against flows that clients reset after their answer.
BOOST_DATA_TEST_CASE(each_request_fails_at_most_once, kObservedFlows, row) {
  CountingObserver observer;
  const SharedObservations& none = NoSharedObservations();
  const SharedObservations shared{
      none.load, none.weights, none.locality, {&observer}};
  SteeringScene scene("north", {}, 0, shared);
  scene.Configure("1 198.18.0.1:443=diary", 0ms);
  scene.Publish("a1", TargetText("diary", "north", "10.0.0.1:80"), 0ms);
  auto now = 10ms;
  scene.steering.OnPacket(SteeringScene::Syn(1000), now);
  FlowPacket last = SteeringScene::Ack(1000, 0xA1);
  last.sequence = 1;
  last.acknowledgement = 1;
  for (const char kind : row.packets) {
    now += 200ms;
    last.sequence += kind == 'd' ? 100 : 0;
    last.payload_bytes = kind == 'd' || kind == 'r' ? 100 : 0;
    last.acknowledgement += kind == 'a' || kind == 'X' ? 1000 : 0;
    FlowPacket packet = last;
    packet.flags.fin = kind == 'f';
    packet.flags.rst = kind == 'x' || kind == 'X';
    scene.steering.OnPacket(packet, now);
  }

  BOOST_TEST(observer.openings == 1);
  BOOST_TEST(observer.requests == row.requests);
  BOOST_TEST(observer.failures == row.failures);
}

}  // namespace
}  // namespace sassafrasdyke::core

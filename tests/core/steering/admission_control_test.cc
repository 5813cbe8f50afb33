/// Which flows are admitted when all callers open theirs at once.
#include "core/steering/admission_control.h"

#include <boost/test/unit_test.hpp>

#include "core/steering/reopening_herd.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// One target that has not answered yet.
struct BusyScene : SteeringScene {
  BusyScene() {
    this->Configure("1 198.18.0.1:443=diary", 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80", 0ms);
  }
  std::optional<AdmissionGrant> Admit(const FlowPacket& packet,
                                      std::chrono::milliseconds now) {
    auto grant = this->admission.Admit(packet, {}, now, now);
    if (grant) {
      this->steering.OnPacket(packet, now, *grant);
    }
    return grant;
  }
  /// Opens flows until one is queued; returns its port.
  std::uint16_t Fill(std::chrono::milliseconds now) {
    std::uint16_t port = 1000;
    while (this->Admit(Syn(port), now)) {
      ++port;
      BOOST_REQUIRE(port < 1100);
    }
    return port;
  }

  AdmissionControl admission{this->view.Routes(), this->steering};
};

// Guards against overload after all instances were down for 1.2 s: their
// callers return within half a second, while 200 new ones arrive each second
// and the targets can serve 279. Forwarded at once, they fill the queues:
// hundreds are shed and retry, and one in five of those who ask after the
// outage is never served.
BOOST_AUTO_TEST_CASE(callers_still_in_time_are_served_first_after_an_outage) {
  const HerdOutcome at_once = ReopeningHerd(false).Play();
  const HerdOutcome held = ReopeningHerd(true).Play();

  BOOST_TEST_MESSAGE("in time " << at_once.in_time << " and " << held.in_time
                                << ", late " << at_once.late << " and "
                                << held.late << ", shed " << at_once.shed
                                << " and " << held.shed << ", failed "
                                << at_once.failed << " and " << held.failed);
  const int served_at_once = at_once.in_time + at_once.late;
  const int served_held = held.in_time + held.late;
  BOOST_TEST(served_at_once < 250);  // Of 300.
  BOOST_TEST(served_held >= 290);
  BOOST_TEST(held.in_time >= 200);
  BOOST_TEST(held.shed * 10 < at_once.shed);
}

// Guards against a queued SYN that isn't released when a client acknowledges an
// answer.
BOOST_AUTO_TEST_CASE(an_answer_releases_a_queued_syn) {
  BusyScene scene;
  const std::uint16_t waiting = scene.Fill(10ms);
  BOOST_TEST(scene.admission.Waiting() == 1U);
  BOOST_TEST(!scene.admission.TakeNext(20ms).has_value());

  scene.steering.OnPacket(SteeringScene::Data(1000, 0xA1), 20ms);
  FlowPacket answered = SteeringScene::Ack(1000, 0xA1);
  answered.acknowledgement = 1000;
  scene.steering.OnPacket(answered, 30ms);

  const auto released = scene.admission.TakeNext(30ms);
  BOOST_REQUIRE(released.has_value());
  BOOST_TEST(released->syn.flow.caller.port == waiting);
  BOOST_TEST(scene.admission.Waiting() == 0U);
}

// The client has retransmitted its SYN, and the copy opened the flow through
// another instance. If the queued SYN were still forwarded, a second target
// would open the flow too, and its answer would divert the client's packets
// from the first.
BOOST_AUTO_TEST_CASE(a_flow_opened_elsewhere_leaves_the_queue) {
  BusyScene scene;
  const std::uint16_t waiting = scene.Fill(10ms);

  scene.admission.Admit(SteeringScene::Data(waiting, 0xA1), {}, 50ms, 50ms);

  BOOST_TEST(scene.admission.Waiting() == 0U);
}

// A recently started instance received a SYN 150 ms before it had a view, and
// then all targets are busy. The client retransmits 200 ms after the SYN, so
// the queued one must be dropped 30 ms later, not 180.
BOOST_AUTO_TEST_CASE(a_syn_from_before_the_view_keeps_its_arrival_time) {
  BusyScene scene;
  scene.Fill(160ms);
  scene.admission.OnPause();

  scene.admission.Admit(SteeringScene::Syn(5000), {}, 10ms, 160ms);
  BOOST_TEST(scene.admission.Waiting() == 1U);
  scene.admission.OnTick(189ms);
  BOOST_TEST(scene.admission.Waiting() == 1U);
  scene.admission.OnTick(190ms);
  BOOST_TEST(scene.admission.Waiting() == 0U);
}

// Guards against forwarding a SYN from before a pause of the process: its
// client has retransmitted it meanwhile.
BOOST_AUTO_TEST_CASE(a_pause_clears_the_queue) {
  BusyScene scene;
  scene.Fill(10ms);

  scene.admission.OnPause();

  BOOST_TEST(scene.admission.Waiting() == 0U);
}

// A route is withdrawn while a SYN for it is queued. The client is refused at
// once instead of retransmitting twice.
BOOST_AUTO_TEST_CASE(syns_of_a_withdrawn_route_are_released) {
  BusyScene scene;
  const std::uint16_t waiting = scene.Fill(10ms);
  scene.Configure("2 198.18.0.2:443=diary", 20ms);

  const auto released = scene.admission.TakeNext(30ms);

  BOOST_REQUIRE(released.has_value());
  BOOST_TEST(released->syn.flow.caller.port == waiting);
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(waiting),
                                            30ms)) == "no-route");
}

}  // namespace
}  // namespace sassafrasdyke::core

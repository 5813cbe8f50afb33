/// Open flows whose route or target seems to have ended, at an instance that
/// may lag behind the one that opened them.
#include "core/steering/end_evidence.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

const std::string kRoute = "198.18.0.1:443=diary";

/// Two targets of one service and its route.
struct Scene : SteeringScene {
  Scene() {
    this->Configure("1 " + kRoute, 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80 start=1000", 0ms);
    this->Publish("a2", "diary north 10.0.0.2:80 start=1000", 0ms);
  }

  /// Sends a request on an open flow.
  std::string Request(std::uint32_t word, std::chrono::milliseconds now) {
    return std::string(
        core::WordOf(this->steering.OnPacket(Data(1000, word), now)));
  }
  void Confirm(std::optional<std::chrono::milliseconds> at) {
    if (at) {
      this->view.Contact().OnAnswer(*at);
    }
  }
};

/// A packet of an open flow at an instance that learnt at 5000 ms of the end of
/// the flow's route.
struct WithdrawnRouteRow {
  std::string name;
  std::uint32_t word;
  std::chrono::milliseconds first_seen;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const WithdrawnRouteRow& row) {
  return out << row.name;
}

const WithdrawnRouteRow kWithdrawnRoutes[] = {
    {"before the withdrawal", 0xA1, 4000ms, 5100ms, {}, "no-route"},
    {"about the withdrawal", 0xA1, 4800ms, 5100ms, {}, "carried"},
    {"about it, confirmed since", 0xA1, 4800ms, 5400ms, 5300ms, "no-route"},
    {"since", 0xA1, 5100ms, 5100ms, {}, "carried"},
    {"since, not confirmed", 0xA1, 5100ms, 9000ms, {}, "carried"},
    {"since, soon confirmed", 0xA1, 5100ms, 5500ms, 5400ms, "carried"},
    {"since, confirmed later", 0xA1, 5100ms, 5700ms, 5600ms, "no-route"},
    {"since, unknown target", 0xC1, 5100ms, 5300ms, {}, "unknown-target"},
    {"since, unknown target, later", 0xC1, 5100ms, 5700ms, 5600ms, "no-route"},
};

// Guards against resetting a flow that was opened after its withdrawn route was
// published again, which this instance hasn't learnt of.
BOOST_DATA_TEST_CASE(a_withdrawal_ends_no_flow_that_may_be_younger,
                     kWithdrawnRoutes, row) {
  Scene scene;
  if (row.first_seen < 5000ms) {
    scene.Request(row.word, row.first_seen);
  }
  scene.Configure("2", 5000ms);
  if (row.first_seen >= 5000ms && row.first_seen < row.at) {
    scene.Request(row.word, row.first_seen);
  }
  scene.Confirm(row.confirmed_at);

  BOOST_TEST(scene.Request(row.word, row.at) == row.outcome);

  if (row.word == 0xA1) {
    scene.Configure("3 " + kRoute, row.at);
    BOOST_TEST(scene.Request(row.word, row.at) == "carried");
  }
}

/// A packet of an open flow at an instance that learnt at 5000 ms of the end of
/// the flow's target. `successor`: of another target, which started later at
/// the same address.
struct GoneTargetRow {
  std::string name;
  bool successor;
  std::chrono::milliseconds first_seen;
  std::chrono::milliseconds at;
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const GoneTargetRow& row) {
  return out << row.name << (row.successor ? ", replaced" : ", removed");
}

const GoneTargetRow kGoneTargets[] = {
    {"before", false, 4000ms, 6100ms, {}, "target-gone"},
    {"before", true, 4000ms, 5100ms, {}, "target-gone"},
    {"about", false, 4800ms, 6100ms, {}, "carried"},
    {"about, confirmed since", false, 4800ms, 6100ms, 5300ms, "target-gone"},
    {"since", false, 6100ms, 6100ms, {}, "carried"},
    {"since", true, 5100ms, 5100ms, {}, "carried"},
    {"since, not confirmed", false, 6100ms, 9000ms, {}, "carried"},
    {"since, not confirmed", true, 5100ms, 9000ms, {}, "carried"},
    {"since, soon confirmed", false, 6100ms, 6700ms, 6500ms, "carried"},
    {"since, confirmed later", false, 6100ms, 6700ms, 6600ms, "target-gone"},
    {"since, confirmed later", true, 5100ms, 5700ms, 5600ms, "target-gone"},
};

// Guards against resetting a flow that was opened after its target had started
// again under its name, which this instance hasn't learnt of.
BOOST_DATA_TEST_CASE(an_end_of_a_target_ends_no_flow_that_may_be_younger,
                     kGoneTargets, row) {
  Scene scene;
  if (row.first_seen < 5000ms) {
    scene.Request(0xA1, row.first_seen);
  }
  if (row.successor) {
    scene.Publish("c1", "diary north 10.0.0.1:80 start=90000", 5000ms);
  } else {
    scene.Remove("a1", 5000ms);
  }
  if (row.first_seen >= 5000ms && row.first_seen < row.at) {
    scene.Request(0xA1, row.first_seen);
  }
  scene.Confirm(row.confirmed_at);

  BOOST_TEST(scene.Request(0xA1, row.at) == row.outcome);

  scene.Publish("a1", "diary north 10.0.0.3:80 start=99000", row.at);
  BOOST_TEST(scene.Request(0xA1, row.at) == "carried");
}

/// A flow that came at 4000 ms, and one that came at 5200 ms, with the view
/// confirmed last at `confirmed_at`.
struct ReplacedTargetRow {
  std::chrono::milliseconds confirmed_at;
  std::size_t told;
};

std::ostream& operator<<(std::ostream& out, const ReplacedTargetRow& row) {
  return out << row.confirmed_at.count() << " ms";
}

const ReplacedTargetRow kReplacedTargets[] = {{5400ms, 1}, {5700ms, 2}};

// Guards against resetting idle flows at a target that was replaced before they
// were opened: it has started again elsewhere.
BOOST_DATA_TEST_CASE(clients_are_told_of_the_end_of_older_flows_only,
                     kReplacedTargets, row) {
  Scene scene;
  const TargetIndex target = scene.IndexOf(0xA1);
  scene.steering.OnPacket(SteeringScene::Ack(1000, 0xA1), 4000ms);
  scene.steering.OnPacket(SteeringScene::Ack(1001, 0xA1), 5200ms);
  scene.view.Contact().OnAnswer(row.confirmed_at);
  scene.view.OnPeerItems({{scene.revision},
                          {scene.revision + 1},
                          false,
                          {{"target/c1",
                            {scene.revision + 1},
                            "diary north 10.0.0.1:80 start=90000"}}},
                         6000ms);

  BOOST_TEST(scene.steering.TakeEndedFlows(target, 6000ms).size() == row.told);
}

}  // namespace
}  // namespace sassafrasdyke::core

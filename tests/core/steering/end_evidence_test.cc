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

}  // namespace
}  // namespace sassafrasdyke::core

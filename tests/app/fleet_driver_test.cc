/// The order in which the fleet learns things.
#include "app/fleet_driver.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "app/manual_clock.h"
#include "app/quiet_log.h"

namespace sassafrasdyke::app {
namespace {

using std::chrono::milliseconds;

/// Notes what it is told, and leaves what a test asks for.
class NotingFleet final : public core::Fleet {
 public:
  explicit NotingFleet(std::vector<std::string>& calls) : calls(calls) {}

  void OnPlatformDocument(const core::Document&, milliseconds,
                          core::FleetOutbox& outbox) override {
    this->calls.emplace_back("document");
    outbox.configuration = std::make_shared<const core::Configuration>();
    outbox.view = core::FleetView{};
  }
  void OnPlatformAnswer(bool, milliseconds, core::FleetOutbox&) override {
    this->calls.emplace_back("answer");
  }
  void OnPeerMessage(common::InstanceId, const core::PeerMessage&, milliseconds,
                     core::FleetOutbox&) override {
    this->calls.emplace_back("peer");
  }
  void OnTargetProbed(common::TargetId, core::TargetHealth, milliseconds,
                      core::FleetOutbox&) override {
    this->calls.emplace_back("probe");
  }
  void OnTick(milliseconds, core::FleetOutbox& outbox) override {
    this->calls.emplace_back("tick");
    outbox.view = core::FleetView{};
  }
  void OnLeave(milliseconds, core::FleetOutbox&) override {
    this->calls.emplace_back("leave");
  }
  bool WatchesPlatform() const override { return true; }
  const core::InstanceList& Instances() const override { return this->list; }
  core::FleetStatus Status() const override { return {}; }

 private:
  std::vector<std::string>& calls;
  core::InstanceList list;
};

struct Fixture {
  ManualClock clock;
  QuietLog quiet;
  std::vector<std::string> calls;
  std::vector<DataMessage> to_data;
  FleetDriver driver{std::make_unique<NotingFleet>(this->calls),
                     this->clock,
                     this->quiet.log,
                     {.to_data =
                          [this](DataMessage message) {
                            this->to_data.push_back(std::move(message));
                          },
                      .to_peer = [](const core::OutgoingMessage&) {},
                      .on_change = [] {}}};
};

// The kernel froze the process for a minute. Peers' heartbeats from before wait
// in the sockets; read first, they would renew the lease with old news, and
// this instance would place flows that another one owns by now.
BOOST_AUTO_TEST_CASE(after_a_pause_the_lease_is_checked_first) {
  Fixture fixture;
  fixture.clock.Advance(std::chrono::minutes{1});

  fixture.driver.OnPeerMessage({2}, core::Heartbeat{});

  BOOST_TEST(fixture.calls == (std::vector<std::string>{"tick", "peer"}),
             boost::test_tools::per_element());
}

// The data task notices a pause that the control task has not seen. It must
// learn the belief of after the pause before it is told to go on.
BOOST_AUTO_TEST_CASE(the_data_task_gets_the_new_belief_first) {
  Fixture fixture;

  fixture.driver.OnPauseNoticed();

  BOOST_REQUIRE(fixture.to_data.size() == 2U);
  BOOST_TEST(std::holds_alternative<core::FleetView>(fixture.to_data[0]));
  BOOST_TEST(std::holds_alternative<PauseChecked>(fixture.to_data[1]));
}

BOOST_AUTO_TEST_CASE(the_data_task_gets_the_configuration_before_the_view) {
  Fixture fixture;

  fixture.driver.OnPlatformDocument({});

  BOOST_REQUIRE(fixture.to_data.size() == 2U);
  BOOST_TEST(std::holds_alternative<ConfigurationInForce>(fixture.to_data[0]));
  BOOST_TEST(std::holds_alternative<core::FleetView>(fixture.to_data[1]));
}

BOOST_AUTO_TEST_CASE(keeps_the_last_refusals_for_whoever_asks) {
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.driver.OnPlatformRefused(core::DocumentKind::kConfiguration,
                                     {{"/", std::to_string(i)}});
  }

  const observe::ControlState state = fixture.driver.State();

  BOOST_REQUIRE(state.refusals.size() == 8U);
  BOOST_TEST(state.refusals.back().faults[0].what == "19");
}

}  // namespace
}  // namespace sassafrasdyke::app

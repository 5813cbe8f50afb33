/// The data task on loopback sockets, with a balancer and a clock of the test.
#include "app/data_task.h"

#include <poll.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <future>

#include "app/manual_clock.h"
#include "app/quiet_log.h"
#include "datapath/packets.h"

namespace sassafrasdyke::app {
namespace {

using datapath::Bytes;
using datapath::TunnelSocket;

/// Forwards every packet to one target, and counts under which lease.
class LeaseBalancer final : public core::Balancer {
 public:
  explicit LeaseBalancer(const common::Endpoint& target) : target(target) {}

  core::PacketAction OnPacket(const core::PacketArrived&,
                              std::chrono::milliseconds,
                              core::Outbox&) override {
    if (this->lease == core::Lease::kHeld) {
      return core::ForwardToTarget{.target = {}, .tunnel = this->target};
    }
    return core::DropPacket{core::DropReason::kStale};
  }
  void OnConfiguration(std::shared_ptr<const core::Configuration>,
                       std::chrono::milliseconds, core::Outbox&) override {}
  void OnFleetView(const core::FleetView& view, std::chrono::milliseconds,
                   core::Outbox&) override {
    this->lease = view.lease;
  }
  void OnPeerMessage(common::InstanceId, const core::PeerMessage&,
                     std::chrono::milliseconds, core::Outbox&) override {}
  void OnTick(std::chrono::milliseconds, core::Outbox&) override {}
  core::BalancerStatus Status() const override { return {}; }

 private:
  common::Endpoint target;
  core::Lease lease{core::Lease::kHeld};
};

std::unique_ptr<TunnelSocket> OpenSocket() {
  auto socket = TunnelSocket::Open(*common::Endpoint::Parse("127.0.0.1:0"));
  BOOST_REQUIRE(socket.has_value());
  return std::move(*socket);
}

/// Waits for one datagram; the bound only ends a test that has failed.
std::size_t ReceiveSome(TunnelSocket& socket) {
  constexpr int kBoundMilliseconds = 30'000;
  pollfd waited{.fd = socket.Descriptor(), .events = POLLIN, .revents = 0};
  poll(&waited, 1, kBoundMilliseconds);
  return socket.Receive().size();
}

struct Fixture {
  Fixture() { this->task.Start(); }

  void SendPacket() {
    const Bytes inner = datapath::Serialize({});
    this->fabric->Send(std::vector<datapath::OutgoingDatagram>{
        {this->tunnel, datapath::EncodeForTarget(inner), inner}});
  }

  DataTask::Parts MakeParts() {
    auto socket = OpenSocket();
    this->tunnel = socket->Local();
    return {.self = {1},
            .socket = std::move(socket),
            .balancer = std::make_unique<LeaseBalancer>(this->target->Local()),
            .fabric_return = this->fabric->Local(),
            .clock = this->clock,
            .log = this->quiet.log,
            .to_control = [this](const ControlMessage& message) {
              this->OnControl(message);
            }};
  }

  /// Runs on the task's thread.
  void OnControl(const ControlMessage& message) {
    if (std::holds_alternative<PauseNoticed>(message)) {
      this->noticed.set_value();
      return;
    }
    const auto* const report = std::get_if<DataReport>(&message);
    constexpr auto kStale = static_cast<std::size_t>(core::DropReason::kStale);
    if (report != nullptr && report->packets.drops[kStale] == 1) {
      std::call_once(this->dropped_once, [this] { this->dropped.set_value(); });
    }
  }

  ManualClock clock;
  QuietLog quiet;
  std::promise<void> noticed;
  std::promise<void> dropped;
  std::once_flag dropped_once;
  std::unique_ptr<TunnelSocket> fabric = OpenSocket();
  std::unique_ptr<TunnelSocket> target = OpenSocket();
  common::Endpoint tunnel;
  DataTask task{this->MakeParts()};
};

BOOST_AUTO_TEST_CASE(forwards_from_the_fabric_to_the_target) {
  Fixture fixture;

  fixture.SendPacket();

  BOOST_TEST(ReceiveSome(*fixture.target) == 1U);
}

// The machine is moved and stands still for longer than the lease; meanwhile
// another instance took over. A packet that is waiting when this one wakes must
// not be placed by the old belief: two targets would serve one booking.
BOOST_AUTO_TEST_CASE(no_packet_meets_a_belief_from_before_a_pause) {
  Fixture fixture;
  fixture.clock.Advance(std::chrono::minutes{1});
  fixture.noticed.get_future().wait();
  fixture.SendPacket();

  core::FleetView stale;
  stale.lease = core::Lease::kStale;
  fixture.task.Mail().Post(stale);
  fixture.task.Mail().Post(PauseChecked{});
  fixture.dropped.get_future().wait();

  fixture.task.Stop();
  BOOST_TEST(fixture.target->Receive().empty());
}

BOOST_AUTO_TEST_CASE(packets_are_forwarded_again_when_the_lease_held) {
  Fixture fixture;
  fixture.clock.Advance(std::chrono::minutes{1});
  fixture.noticed.get_future().wait();
  fixture.SendPacket();

  fixture.task.Mail().Post(core::FleetView{});
  fixture.task.Mail().Post(PauseChecked{});

  BOOST_TEST(ReceiveSome(*fixture.target) == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::app

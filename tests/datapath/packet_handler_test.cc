/// Datagrams in, datagrams out, with a balancer that answers as told.
#include "datapath/packet_handler.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "datapath/ip_packet.h"
#include "datapath/packets.h"

namespace sassafrasdyke::datapath {
namespace {

/// When the test packets come.
constexpr std::chrono::milliseconds kNow{5};

/// Answers every packet with one action and keeps what it was asked.
class FixedBalancer final : public core::Balancer {
 public:
  core::PacketAction OnPacket(const core::PacketArrived& packet,
                              std::chrono::milliseconds,
                              core::Outbox&) override {
    this->asked.push_back(packet);
    return this->action;
  }
  void OnConfiguration(std::shared_ptr<const core::Configuration>,
                       std::chrono::milliseconds, core::Outbox&) override {}
  void OnFleetView(const core::FleetView&, std::chrono::milliseconds,
                   core::Outbox&) override {}
  void OnPeerMessage(common::InstanceId, const core::PeerMessage&,
                     std::chrono::milliseconds, core::Outbox&) override {}
  void OnTick(std::chrono::milliseconds, core::Outbox&) override {}
  core::BalancerStatus Status() const override { return {}; }

  core::PacketAction action{core::DropPacket{}};
  std::vector<core::PacketArrived> asked;
};

common::Endpoint At(const char* text) { return *common::Endpoint::Parse(text); }

const common::Endpoint kFabric = At("127.0.0.1:6000");
const common::Endpoint kPeer = At("127.0.2.1:6080");
const common::Endpoint kTarget = At("127.1.1.1:6080");
constexpr common::InstanceId kSelf{1};
constexpr common::InstanceId kPeerId{2};

struct Fixture {
  Fixture() {
    core::FleetView view;
    core::InstanceView instance;
    instance.id = kSelf;
    instance.tunnel = At("127.0.1.1:6080");
    view.instances.push_back(instance);
    instance.id = kPeerId;
    instance.tunnel = kPeer;
    view.instances.push_back(instance);
    this->handler.OnFleetView(view);
  }

  std::span<const OutgoingDatagram> Handle(const common::Endpoint& from,
                                           ByteView bytes) {
    this->batch = {{.from = from, .bytes = bytes}};
    return this->handler.Handle(this->batch, kNow, this->outbox);
  }

  std::uint64_t Faults(PacketFault fault) const {
    return this->handler.Counters().faults[static_cast<std::size_t>(fault)];
  }

  FixedBalancer balancer;
  PacketHandler handler{kSelf, this->balancer, kFabric};
  core::Outbox outbox;
  std::vector<IncomingDatagram> batch;
};

Bytes FromInstance(const Bytes& inner, common::InstanceId from) {
  const GueHeader header = EncodeForInstance(inner, {.hops = 1, .from = from});
  Bytes datagram(header.View().begin(), header.View().end());
  datagram.insert(datagram.end(), inner.begin(), inner.end());
  return datagram;
}

BOOST_AUTO_TEST_CASE(forwards_the_packet_byte_for_byte) {
  Fixture fixture;
  fixture.balancer.action =
      core::ForwardToTarget{.target = {}, .tunnel = kTarget};
  const Bytes inner = Serialize({.flags = Tins::TCP::ACK, .payload = "swipe"});

  const auto sent = fixture.Handle(kFabric, inner);

  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_CHECK(sent[0].to == kTarget);
  BOOST_TEST(std::ranges::equal(sent[0].inner, inner));
  BOOST_CHECK(fixture.handler.LastFromFabric() == kNow);
}

BOOST_AUTO_TEST_CASE(a_redirect_says_who_sent_it) {
  Fixture fixture;
  fixture.balancer.action =
      core::RedirectToInstance{.instance = kPeerId,
                               .tunnel = kPeer,
                               .arrival = {.hops = 1, .from = kSelf}};
  const Bytes inner = Serialize({});

  const auto sent = fixture.Handle(kFabric, inner);

  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_CHECK(sent[0].to == kPeer);
  Bytes datagram(sent[0].header.View().begin(), sent[0].header.View().end());
  datagram.insert(datagram.end(), sent[0].inner.begin(), sent[0].inner.end());
  const auto decoded = DecodeGue(datagram);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->arrival.has_value());
  BOOST_TEST(decoded->arrival->from == kSelf);
  BOOST_TEST(decoded->arrival->hops == 1);
}

BOOST_AUTO_TEST_CASE(a_reset_goes_to_the_fabric) {
  Fixture fixture;
  fixture.balancer.action = core::ResetCaller{};
  const Bytes inner = Serialize({});

  const auto sent = fixture.Handle(kFabric, inner);

  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_CHECK(sent[0].to == kFabric);
  const auto reset = ReadSegment(sent[0].inner);
  BOOST_REQUIRE(reset.has_value());
  BOOST_TEST(reset->flags.rst);
}

// A caller resets a flow that the balancer has already given up. An answer to
// it would be answered by the next RST, and two ends would talk for ever.
BOOST_AUTO_TEST_CASE(a_reset_is_not_answered_by_a_reset) {
  Fixture fixture;
  fixture.balancer.action = core::ResetCaller{};
  const Bytes inner = Serialize({.flags = Tins::TCP::RST});

  BOOST_TEST(fixture.Handle(kFabric, inner).empty());
}

BOOST_AUTO_TEST_CASE(a_listed_instance_is_believed) {
  Fixture fixture;
  const Bytes datagram = FromInstance(Serialize({}), kPeerId);

  fixture.Handle(kPeer, datagram);

  BOOST_REQUIRE(fixture.balancer.asked.size() == 1U);
  BOOST_TEST(fixture.balancer.asked[0].arrival.hops == 1);
  BOOST_TEST(fixture.balancer.asked[0].arrival.from == kPeerId);
}

struct Foreign {
  const char* name;
  const char* from;
  common::InstanceId claimed;
};

std::ostream& operator<<(std::ostream& out, const Foreign& row) {
  return out << row.name;
}

const Foreign kForeign[] = {
    {"an address that no instance has", "127.9.9.9:6080", kPeerId},
    {"another port of an instance", "127.0.2.1:6081", kPeerId},
    {"an instance in another's name", "127.0.2.1:6080", {3}},
};

// Someone who reaches the tunnel's port writes the private data of a redirect.
// If it were believed, packets could be steered past the owner's placement,
// and one flow would meet two targets.
BOOST_DATA_TEST_CASE(a_stranger_is_not_believed, kForeign, row) {
  Fixture fixture;
  const Bytes datagram = FromInstance(Serialize({}), row.claimed);

  fixture.Handle(At(row.from), datagram);

  BOOST_TEST(fixture.balancer.asked.empty());
  BOOST_TEST(fixture.Faults(PacketFault::kUntrustedHop) == 1U);
}

// A target is published at an instance's tunnel address by mistake. Its packets
// come back as if they were new from the fabric and circle until the instances
// do nothing else.
BOOST_AUTO_TEST_CASE(a_forwarded_packet_that_comes_back_is_dropped) {
  Fixture fixture;
  const Bytes inner = Serialize({});

  fixture.Handle(kPeer, inner);

  BOOST_TEST(fixture.balancer.asked.empty());
  BOOST_TEST(fixture.Faults(PacketFault::kLooping) == 1U);
}

struct Wait {
  std::chrono::milliseconds waited;
  bool handled;
};

std::ostream& operator<<(std::ostream& out, const Wait& row) {
  return out << row.waited.count() << " ms";
}

const Wait kWaits[] = {{std::chrono::milliseconds{0}, true},
                       {kLongestWait, true},
                       {kLongestWait + std::chrono::milliseconds{1}, false},
                       {std::chrono::minutes{5}, false}};

// A balancer stands still while its flows go on over another owner and end
// there. When it wakes, the packets of that time lie in its queue. Handled, the
// old SYN and the swipe behind it would reach a target again: a student pays
// for two meals.
BOOST_DATA_TEST_CASE(what_waited_through_a_pause_is_dropped, kWaits, row) {
  Fixture fixture;
  const Bytes inner = Serialize({});
  fixture.batch = {{.from = kFabric, .bytes = inner, .waited = row.waited}};

  fixture.handler.Handle(fixture.batch, kNow, fixture.outbox);

  BOOST_TEST(fixture.balancer.asked.empty() != row.handled);
  BOOST_TEST(fixture.Faults(PacketFault::kLate) == (row.handled ? 0U : 1U));
}

BOOST_AUTO_TEST_CASE(counts_drops_by_reason) {
  Fixture fixture;
  fixture.balancer.action = core::DropPacket{core::DropReason::kStale};
  const Bytes inner = Serialize({});

  BOOST_TEST(fixture.Handle(kFabric, inner).empty());
  constexpr auto kReason = static_cast<std::size_t>(core::DropReason::kStale);
  BOOST_TEST(fixture.handler.Counters().drops[kReason] == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::datapath

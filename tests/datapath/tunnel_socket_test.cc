/// The socket on loopback addresses. What it sends to itself has arrived when
/// the call returns, so no test waits.
#include "datapath/tunnel_socket.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "datapath/packets.h"

namespace sassafrasdyke::datapath {
namespace {

std::unique_ptr<TunnelSocket> OpenAt(const std::string& text) {
  auto socket = TunnelSocket::Open(*common::Endpoint::Parse(text));
  BOOST_REQUIRE(socket.has_value());
  return std::move(*socket);
}

const std::string kListens[] = {"127.0.0.1:0", "[::1]:0"};

BOOST_DATA_TEST_CASE(takes_what_another_sends, kListens, listen) {
  const auto sender = OpenAt(listen);
  const auto receiver = OpenAt(listen);
  const Bytes inner = Serialize({.payload = "abc"});
  const std::vector<OutgoingDatagram> batch(
      3, {receiver->Local(), EncodeForTarget(inner), inner});

  sender->Send(batch);
  const auto received = receiver->Receive();

  BOOST_REQUIRE(received.size() == 3U);
  for (const IncomingDatagram& datagram : received) {
    const auto decoded = DecodeGue(datagram.bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(std::ranges::equal(decoded->inner, inner));
    BOOST_CHECK(datagram.from == sender->Local());
  }
  BOOST_TEST(sender->Counters().sent == 3U);
}

// A jumbo packet larger than the buffer would be cut by the kernel without a
// word, and the target would drop it for its length.
BOOST_AUTO_TEST_CASE(marks_what_does_not_fit) {
  const auto sender = OpenAt("127.0.0.1:0");
  const auto receiver = OpenAt("127.0.0.1:0");
  const Bytes inner(kMaxDatagram, 0x45);

  sender->Send(std::vector<OutgoingDatagram>{
      {receiver->Local(), EncodeForTarget(inner), inner}});
  const auto received = receiver->Receive();

  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST(received[0].oversize);
}

// A target's process dies, so its port answers with ICMP. The kernel reports
// that on the next send, whatever its destination: the packets of a healthy
// target, sent in the same batch, must still leave.
BOOST_AUTO_TEST_CASE(a_dead_target_does_not_cost_others_their_packets) {
  const auto sender = OpenAt("127.0.0.1:0");
  const auto receiver = OpenAt("127.0.0.1:0");
  const common::Endpoint dead = OpenAt("127.0.0.1:0")->Local();
  const Bytes inner = Serialize({});
  const OutgoingDatagram to_dead{dead, EncodeForTarget(inner), inner};
  const OutgoingDatagram to_live{receiver->Local(), EncodeForTarget(inner),
                                 inner};

  sender->Send(std::vector<OutgoingDatagram>{to_dead, to_live, to_dead});
  sender->Send(std::vector<OutgoingDatagram>{to_live, to_live});

  BOOST_TEST(receiver->Receive().size() == 3U);
  BOOST_TEST(sender->Counters().icmp_errors > 0U);
  BOOST_TEST(sender->Counters().refused == 0U);
}

/// Sends a datagram and receives it `wait` later. Returns how long it is said
/// to have waited.
std::chrono::milliseconds WaitedFor(TunnelSocket& sender,
                                    TunnelSocket& receiver,
                                    std::chrono::milliseconds wait) {
  const Bytes inner = Serialize({});
  sender.Send(std::vector<OutgoingDatagram>{
      {receiver.Local(), EncodeForTarget(inner), inner}});
  std::this_thread::sleep_for(wait);
  const auto received = receiver.Receive();
  BOOST_REQUIRE(received.size() == 1U);
  return received[0].waited;
}

BOOST_AUTO_TEST_CASE(tells_how_long_a_datagram_waited) {
  constexpr std::chrono::milliseconds kWait{30};
  constexpr int kMostTries = 200;
  const auto sender = OpenAt("127.0.0.1:0");
  const auto receiver = OpenAt("127.0.0.1:0");
  // The kernel begins to stamp arrivals a moment after the first socket asks
  // for it; until then a datagram is stamped as it is received.
  int tries = 0;
  while (WaitedFor(*sender, *receiver, std::chrono::milliseconds{2}).count() <
         1) {
    BOOST_REQUIRE(++tries < kMostTries);
  }

  // At least: a busy machine makes it longer, never shorter.
  BOOST_CHECK(WaitedFor(*sender, *receiver, kWait) >=
              kWait - std::chrono::milliseconds{1});
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error) {
  const auto first = OpenAt("127.0.0.1:0");

  const auto second = TunnelSocket::Open(first->Local());

  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST(second.error().operation == "bind");
}

// The configuration names an IPv6 target while the tunnel listens on IPv4. The
// packet can't leave; the ones behind it in the batch must.
BOOST_AUTO_TEST_CASE(an_address_of_the_other_family_is_counted) {
  const auto sender = OpenAt("127.0.0.1:0");
  const auto receiver = OpenAt("127.0.0.1:0");
  const Bytes inner = Serialize({});

  sender->Send(std::vector<OutgoingDatagram>{
      {*common::Endpoint::Parse("[::1]:9"), EncodeForTarget(inner), inner},
      {receiver->Local(), EncodeForTarget(inner), inner}});

  BOOST_TEST(sender->Counters().refused == 1U);
  BOOST_TEST(receiver->Receive().size() == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::datapath

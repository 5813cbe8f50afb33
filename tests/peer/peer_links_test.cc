/// Streams between instances over loopback sockets.
#include "peer/peer_links.h"

#include <sys/resource.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <variant>

#include "peer/frame_splitter.h"
#include "peer/peer_codec.h"
#include "peer/peer_fixture.h"
#include "peer/sample_messages.h"
#include "peer/scripted_client.h"

namespace sassafrasdyke::peer {
namespace {

using namespace std::chrono_literals;

core::PeerMessage Beat(std::uint64_t sequence) {
  core::Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  return heartbeat;
}

std::uint64_t SequenceOf(const core::PeerMessage& message) {
  return std::get<core::Heartbeat>(message).sequence;
}

BOOST_FIXTURE_TEST_CASE(every_kind_arrives_in_order_both_ways, PairFixture) {
  const auto samples = SampleMessages();
  for (const core::PeerMessage& sample : samples) {
    this->one.links->Send({2}, sample);
    this->two.links->Send({1}, sample);
  }

  BOOST_TEST(this->RunUntil([this, &samples] {
    return this->one.recorder.messages.size() == samples.size() &&
           this->two.recorder.messages.size() == samples.size();
  }));

  for (std::size_t i = 0; i < samples.size(); ++i) {
    const auto& [from, message] = this->two.recorder.messages[i];
    BOOST_TEST(from.value == 1U);
    BOOST_TEST(Encode(message) == Encode(samples[i]));
    const Traffic& sent = this->one.links->Counts().sent[i];
    const Traffic& received = this->two.links->Counts().received[i];
    BOOST_TEST(sent.messages == 1U);
    BOOST_TEST(received.messages == 1U);
    BOOST_TEST(sent.bytes == Encode(samples[i]).size() + kFrameHeader);
    BOOST_TEST(received.bytes == sent.bytes);
  }
  BOOST_TEST(this->one.recorder.ups == 1);
  BOOST_TEST(this->one.links->Counts().connects == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_document_of_a_megabyte_arrives_whole, PairFixture) {
  core::DocumentCopy copy;
  copy.document.revision = {9};
  copy.document.entries.push_back({"defaults", std::string(1U << 20U, 'x')});

  this->one.links->Send({2}, copy);
  BOOST_TEST(
      this->RunUntil([this] { return !this->two.recorder.messages.empty(); }));

  const auto& received =
      std::get<core::DocumentCopy>(this->two.recorder.messages[0].second);
  BOOST_TEST((received.document == copy.document));
}

BOOST_FIXTURE_TEST_CASE(messages_to_the_unlisted_are_counted, PairFixture) {
  this->one.links->Send({3}, Beat(1));
  this->one.links->Send({1}, Beat(1));

  BOOST_TEST(this->one.links->Counts().dropped_unlisted[0] == 2U);
  BOOST_TEST(this->one.links->Counts().connects == 0U);
}

struct Stranger {
  std::string name;
  std::string from;
  std::string body;  ///< What it says first.
  CutReason reason;
};

std::ostream& operator<<(std::ostream& out, const Stranger& row) {
  return out << row.name;
}

std::string Say(const Hello& hello) { return Framed(Encode(hello)); }

const Hello kHello{kSpokenVersions, "lensmoor", {2}, {1}, {1}};

const Stranger kStrangers[] = {
    {"another fleet", "127.0.1.2",
     Say({kSpokenVersions, "hmcdu", {2}, {1}, {1}}), CutReason::kOtherFleet},
    {"another version", "127.0.1.2", Say({{9, 9}, "lensmoor", {2}, {1}, {1}}),
     CutReason::kOtherVersion},
    {"meant for another instance", "127.0.1.2",
     Say({kSpokenVersions, "lensmoor", {2}, {1}, {3}}),
     CutReason::kMisdirected},
    {"an id that isn't listed", "127.0.1.2",
     Say({kSpokenVersions, "lensmoor", {3}, {1}, {1}}), CutReason::kNotListed},
    {"this instance's own id", "127.0.1.1",
     Say({kSpokenVersions, "lensmoor", {1}, {1}, {1}}), CutReason::kNotListed},
    {"another instance's id", "127.0.1.1", Say(kHello), CutReason::kNotListed},
    {"an address that isn't listed", "127.0.1.9", Say(kHello),
     CutReason::kNotListed},
    {"a life before this one", "127.0.1.2",
     Say({kSpokenVersions, "lensmoor", {2}, {0}, {1}}),
     CutReason::kOldIncarnation},
    {"a hello that is none", "127.0.1.2", Framed("\x90"),
     CutReason::kMalformed},
    {"a hello that is too long", "127.0.1.2",
     Framed(std::string(kHelloLimit + 1, 'x')), CutReason::kTooLong},
    {"a message that is none", "127.0.1.2", Say(kHello) + Framed("garbage"),
     CutReason::kMalformed},
    {"a message after one that is none", "127.0.1.2",
     Say(kHello) + Framed("garbage") + Framed(Encode(core::Heartbeat{})),
     CutReason::kMalformed},
    {"a message that is too long", "127.0.1.2",
     Say(kHello) + std::string("\x7F\xFF\xFF\xFF", 4), CutReason::kTooLong},
};

// Something on the network that is no peer of this fleet, or no longer, finds
// the port. Taking its word could move ownership, or put another fleet's
// configuration in force.
BOOST_DATA_TEST_CASE(cuts_off_what_is_no_peer, kStrangers, row) {
  PairFixture fixture;
  const ScriptedClient client(fixture.loop, row.from, fixture.one.control,
                              row.body);

  BOOST_TEST(fixture.RunUntil([&fixture, &row] {
    return fixture.one.links->Counts().Cut(row.reason) > 0;
  }));

  BOOST_TEST(fixture.one.links->Counts().Cut(row.reason) == 1U);
  BOOST_REQUIRE(!fixture.one.recorder.cuts.empty());
  BOOST_TEST(Word(fixture.one.recorder.cuts[0]) == Word(row.reason));
  BOOST_TEST(fixture.one.recorder.messages.empty());
  BOOST_TEST(fixture.RunUntil([&client] {
    return client.ended.has_value() || client.answer == false;
  }));
}

// A process has just started and has no configuration yet. It can't know who
// its peers are, so it lets nobody in.
BOOST_FIXTURE_TEST_CASE(lets_nobody_in_before_it_knows_its_fleet, PairFixture) {
  this->one.links->SetInstances(this->list, "");
  const ScriptedClient client(this->loop, "127.0.1.2", this->one.control,
                              Say(kHello));

  BOOST_TEST(this->RunUntil([this] {
    return this->one.links->Counts().Cut(CutReason::kNoConfiguration) == 1;
  }));
}

BOOST_FIXTURE_TEST_CASE(cuts_off_what_does_not_speak_http2, PairFixture) {
  auto socket = Socket::Connect(common::IpAddress::Parse("127.0.1.2").value(),
                                this->one.control);
  BOOST_REQUIRE(socket.has_value());
  TcpTransport transport(std::move(*socket));
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  BOOST_TEST(this->RunUntil([&transport, &request] {
    return transport.Write(request).state == IoState::kDone;
  }));

  BOOST_TEST(this->RunUntil([this] {
    return this->one.links->Counts().Cut(CutReason::kProtocol) == 1;
  }));
}

// Something opens connections and says nothing, perhaps to use up what the
// instance can hold. Peers must still get in afterwards.
BOOST_AUTO_TEST_CASE(connections_without_a_hello_are_few_and_short) {
  PeerFixture fixture;
  fixture.limits.waiting = 2;
  fixture.limits.hello_deadline = 50ms;
  TestInstance& one = fixture.Open(1);
  fixture.limits = {};
  TestInstance& two = fixture.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);

  std::vector<Socket> silent;
  silent.reserve(4);
  for (int i = 0; i < 4; ++i) {
    silent.push_back(Socket::Connect(two.control.address, one.control).value());
  }
  BOOST_TEST(fixture.RunUntil([&one] {
    return one.links->Counts().accepts == 4 &&
           one.links->Counts().Cut(CutReason::kNoHello) +
                   one.links->Counts().Cut(CutReason::kTooMany) ==
               4;
  }));
  two.links->Send({1}, Beat(1));
  BOOST_TEST(
      fixture.RunUntil([&one] { return !one.recorder.messages.empty(); }));
}

/// Lowers how many descriptors the process may have, until it goes.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    getrlimit(RLIMIT_NOFILE, &this->before);
    const rlimit lowered{limit, this->before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before{};
};

// The process has no descriptor left when a peer connects. It must not spin on
// the connection that it can't take, and must take it once it can.
BOOST_FIXTURE_TEST_CASE(a_connection_waits_while_descriptors_are_used_up,
                        PairFixture) {
  const Socket waiting =
      Socket::Connect(this->two.control.address, this->one.control).value();
  {
    const DescriptorLimit none(static_cast<rlim_t>(waiting.Descriptor()) + 1);
    const ev::tstamp start = this->loop.now();
    int rounds = 0;
    while (this->loop.now() < start + 0.05) {
      this->loop.run(ev::ONCE);
      ++rounds;
    }
    BOOST_TEST(rounds < 100);
    BOOST_TEST(this->one.links->Counts().accepts == 0U);
  }

  BOOST_TEST(this->RunUntil(
      [this] { return this->one.links->Counts().accepts == 1; }));
}

// A peer's machine loses its power. Its end of the connection says nothing
// more, not even goodbye, and messages to it vanish without a sign.
BOOST_AUTO_TEST_CASE(a_peer_that_never_answers_is_given_up_and_tried_again) {
  PeerFixture fixture;
  fixture.limits.connect_deadline = 30ms;
  fixture.limits.first_retry = 1ms;
  fixture.limits.longest_retry = 5ms;
  TestInstance& one = fixture.Open(1);
  // It listens, so the system accepts, but no process reads.
  const Socket dead =
      Socket::Listen({common::IpAddress::Parse("127.0.1.2").value(), 0})
          .value();
  TestInstance two;
  two.control = LocalEndpoint(dead);
  one.links->SetInstances(PeerFixture::ListOf({&one, &two}),
                          PeerFixture::kFleet);
  one.links->Send({2}, Beat(1));

  BOOST_TEST(fixture.RunUntil(
      [&one] { return one.links->Counts().Cut(CutReason::kSilent) >= 2; }));
  BOOST_TEST(one.recorder.ups == 0);
}

// A peer lets a stream in, and then its process is stopped or its power lost.
BOOST_AUTO_TEST_CASE(an_open_stream_that_goes_silent_is_found) {
  PeerFixture fixture;
  fixture.limits.ping_interval = 30ms;
  TestInstance& one = fixture.Open(1);
  // The peer runs on a loop of its own, which can stand still.
  PeerFixture other;
  TestInstance& two = other.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);
  one.links->Send({2}, Beat(1));
  BOOST_TEST(fixture.RunUntil([&one, &other] {
    other.loop.run(ev::NOWAIT);
    return one.recorder.ups > 0;
  }));

  BOOST_TEST(fixture.RunUntil([&one] { return one.recorder.downs > 0; }));
  BOOST_TEST(one.links->Counts().Cut(CutReason::kSilent) >= 1U);
}

// A peer's process is replaced at its address. Its streams end, and the next
// message must reach the new process without anybody's help.
BOOST_AUTO_TEST_CASE(a_peer_that_comes_back_is_reached_again) {
  PeerFixture fixture;
  fixture.limits.first_retry = 1ms;
  fixture.limits.longest_retry = 5ms;
  TestInstance& one = fixture.Open(1);
  TestInstance& two = fixture.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);
  one.links->Send({2}, Beat(1));
  BOOST_TEST(
      fixture.RunUntil([&two] { return !two.recorder.messages.empty(); }));

  two.links.reset();
  BOOST_TEST(fixture.RunUntil([&one] { return one.recorder.downs == 1; }));
  one.links->Send({2}, Beat(2));
  fixture.incarnation = 2;
  TestInstance& again = fixture.Open(2, two.control.port);
  again.links->SetInstances(list, PeerFixture::kFleet);

  BOOST_TEST(
      fixture.RunUntil([&again] { return !again.recorder.messages.empty(); }));
  BOOST_TEST(SequenceOf(again.recorder.messages[0].second) == 2U);
  BOOST_TEST(one.recorder.ups == 2);
}

// An instance is taken off the list while its streams are open. From then on
// it is a stranger, whatever it still says.
BOOST_FIXTURE_TEST_CASE(an_instance_off_the_list_is_cut_off, PairFixture) {
  this->two.links->Send({1}, Beat(1));
  this->one.links->Send({2}, Beat(1));
  BOOST_TEST(this->RunUntil([this] {
    return !this->one.recorder.messages.empty() &&
           !this->two.recorder.messages.empty();
  }));

  this->one.links->SetInstances(ListOf({&this->one}), kFleet);
  BOOST_TEST(this->RunUntil([this] { return this->two.recorder.downs == 1; }));
  this->two.links->Send({1}, Beat(2));

  BOOST_TEST(this->RunUntil([this] {
    return this->one.links->Counts().Cut(CutReason::kNotListed) > 0;
  }));
  BOOST_TEST(this->one.recorder.messages.size() == 1U);
  BOOST_TEST(this->one.links->Counts().Cut(CutReason::kUnlisted) == 2U);
}

// The message that tells of a new list comes from the very peer that the new
// list no longer names.
BOOST_FIXTURE_TEST_CASE(the_list_may_change_while_a_message_is_read,
                        PairFixture) {
  this->one.recorder.on_message = [this] {
    this->one.links->SetInstances(ListOf({&this->one}), kFleet);
  };
  this->two.links->Send({1}, Beat(1));
  this->two.links->Send({1}, Beat(2));

  BOOST_TEST(this->RunUntil([this] { return this->two.recorder.downs == 1; }));

  BOOST_TEST(this->one.recorder.messages.size() == 1U);
}

// A peer notices that its stream is lost before this end does, and opens
// another. Only the newer one counts.
BOOST_FIXTURE_TEST_CASE(a_newer_stream_replaces_the_older, PairFixture) {
  const ScriptedClient first(this->loop, "127.0.1.2", this->one.control,
                             Say(kHello));
  BOOST_TEST(this->RunUntil([&first] { return first.answer == true; }));
  const ScriptedClient second(this->loop, "127.0.1.2", this->one.control,
                              Say(kHello) + Framed(Encode(Beat(1))));

  BOOST_TEST(this->RunUntil([this, &first] {
    return first.ended.has_value() && !this->one.recorder.messages.empty();
  }));
  BOOST_TEST(this->one.links->Counts().Cut(CutReason::kReplaced) == 1U);
}

// Nothing has been said to a peer for a while, as after the watchers of an
// instance have changed. Streams that nobody needs must not add up.
BOOST_AUTO_TEST_CASE(an_unused_stream_is_closed_and_opened_again) {
  PeerFixture fixture;
  fixture.limits.ping_interval = 200ms;
  fixture.limits.unused_after = 0ms;
  TestInstance& one = fixture.Open(1);
  TestInstance& two = fixture.Open(2);
  const core::InstanceList list = PeerFixture::ListOf({&one, &two});
  one.links->SetInstances(list, PeerFixture::kFleet);
  two.links->SetInstances(list, PeerFixture::kFleet);
  one.links->Send({2}, Beat(1));

  BOOST_TEST(fixture.RunUntil([&one] { return one.recorder.downs > 0; }));
  one.links->Send({2}, Beat(2));
  BOOST_TEST(
      fixture.RunUntil([&two] { return two.recorder.messages.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(says_that_an_address_can_not_be_listened_at) {
  PeerFixture fixture;
  const TestInstance& one = fixture.Open(1);
  config::ControlSettings settings;
  settings.listen = one.control;
  Recorder recorder;

  const auto links =
      PeerLinks::Open(fixture.loop, {{2}, {1}}, settings, {}, 1, recorder);

  BOOST_REQUIRE(!links.has_value());
  BOOST_TEST(links.error().what.find(one.control.ToString()) !=
             std::string::npos);
}

}  // namespace
}  // namespace sassafrasdyke::peer

/// What is taken from one peer, and what becomes of the rest.
#include "peer/receive_limiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <variant>

#include "peer/frame_splitter.h"
#include "peer/peer_clock.h"
#include "peer/peer_codec.h"
#include "peer/peer_fixture.h"
#include "peer/scripted_client.h"

namespace sassafrasdyke::peer {
namespace {

using namespace std::chrono_literals;

struct Step {
  std::string name;
  std::size_t taken_before;  ///< Messages of 100 bytes, at time 0.
  std::chrono::milliseconds now;
  std::size_t bytes;
  std::optional<ReceiveLimit> spent;
};

std::ostream& operator<<(std::ostream& out, const Step& row) {
  return out << row.name;
}

const Step kSteps[] = {
    {"within both", 0, 0ms, 100, std::nullopt},
    {"the burst of messages is spent", 4, 0ms, 100, ReceiveLimit::kMessages},
    {"earned again", 4, 500ms, 100, std::nullopt},
    {"the burst of bytes is spent", 3, 0ms, 701, ReceiveLimit::kBytes},
    {"the bytes are earned again", 3, 10ms, 701, std::nullopt},
    {"a long gap earns no more than the burst", 4, 1h, 1001,
     ReceiveLimit::kBytes},
};

BOOST_DATA_TEST_CASE(takes_within_both_budgets, kSteps, row) {
  ReceiveLimiter limiter({.messages = {.per_second = 2, .burst = 4},
                          .bytes = {.per_second = 1000, .burst = 1000}});
  for (std::size_t i = 0; i < row.taken_before; ++i) {
    BOOST_REQUIRE(!limiter.Take(100, 0ms).has_value());
  }

  BOOST_TEST((limiter.Take(row.bytes, row.now) == row.spent));
}

/// Stands still until a test moves it.
class ManualClock final : public PeerClock {
 public:
  std::chrono::milliseconds Now() const override { return this->now; }
  std::chrono::milliseconds now{0};
};

constexpr std::size_t kBurst = 3;
constexpr std::size_t kSent = 10;

/// Three instances that list each other. Each takes three messages at once
/// from a peer and then one a second, on a clock that the test moves.
struct LimitedFixture : PeerFixture {
  ManualClock now;
  TestInstance* receiver{nullptr};
  TestInstance* flooding{nullptr};
  TestInstance* quiet{nullptr};

  LimitedFixture() {
    this->clock = &this->now;
    this->limits.receive.messages = {.per_second = 1, .burst = kBurst};
    this->limits.receive_again = 1ms;
    this->receiver = &this->Open(1);
    this->flooding = &this->Open(2);
    this->quiet = &this->Open(3);
    const auto list = ListOf({this->receiver, this->flooding, this->quiet});
    for (const auto& instance : this->instances) {
      instance->links->SetInstances(list, kFleet);
    }
  }

  std::size_t Received() const {
    return this->receiver->recorder.messages.size();
  }
  std::uint64_t Paused() const {
    return this->receiver->links->Counts().Paused(ReceiveLimit::kMessages);
  }
};

// A fault makes one instance send without end. Each message costs its receivers
// processor time, and when they are late with their own heartbeats, the
// overload of one has become that of all. Copies of exceptions are among the
// excess: if they vanished here, the next owner would reset flows that it
// should have kept. The rest therefore waits at its sender, which counts what
// it can't hold, and other peers are heard meanwhile.
BOOST_FIXTURE_TEST_CASE(a_peer_over_its_budget_waits_and_loses_nothing,
                        LimitedFixture) {
  core::ExceptionCopy copy;
  for (copy.sequence = 1; copy.sequence <= kSent; ++copy.sequence) {
    this->flooding->links->Send({1}, copy);
  }
  BOOST_TEST(this->RunUntil([this] { return this->Paused() > 0; }));
  BOOST_TEST(this->Received() == kBurst);
  BOOST_TEST(this->Paused() == 1U);

  this->quiet->links->Send({1}, core::Heartbeat{});
  BOOST_TEST(this->RunUntil([this] { return this->Received() > kBurst; }));
  BOOST_TEST(this->receiver->recorder.messages.back().first.value == 3U);
  this->receiver->recorder.messages.pop_back();

  while (this->Received() < kSent) {
    const std::size_t before = this->Received();
    this->now.now += 1s;
    BOOST_REQUIRE(this->RunUntil(
        [this, before] { return this->Received() == before + 1; }));
  }
  std::uint64_t sequence = 0;
  for (const auto& [from, message] : this->receiver->recorder.messages) {
    BOOST_TEST(std::get<core::ExceptionCopy>(message).sequence == ++sequence);
  }
}

// The same instance goes on for longer. What waits for it at the receiver must
// stay within the stream's window, and its stream must not look half-open: it
// would be torn down, and opened again with a new budget.
BOOST_FIXTURE_TEST_CASE(what_waits_is_bounded_and_the_stream_stays_up,
                        LimitedFixture) {
  constexpr std::size_t kEntry = 16'384;
  constexpr std::size_t kMessages = 64;
  constexpr std::size_t kWindow = 65'535;
  core::DocumentCopy copy;
  copy.document.entries.push_back({"defaults", std::string(kEntry, 'x')});
  const std::string message = Framed(Encode(copy));
  std::string said =
      Framed(Encode(Hello{kSpokenVersions, kFleet, {2}, {1}, {1}}));
  for (std::size_t i = 0; i < kMessages; ++i) {
    said += message;
  }
  ScriptedClient client(this->loop, "127.0.1.2", this->receiver->control, said);
  BOOST_TEST(this->RunUntil([this] { return this->Paused() > 0; }));

  constexpr std::size_t kPings = 50;
  // The answer to the hello and updates of the window may still be under way.
  constexpr std::size_t kOthers = 10;
  const std::size_t before = client.frames;
  for (std::size_t i = 0; i < kPings; ++i) {
    client.Ping();
  }
  BOOST_TEST(this->RunUntil([&client, before] {
    return client.frames >= before + kPings - kOthers;
  }));

  BOOST_TEST(this->Received() == kBurst);
  BOOST_TEST(said.size() - client.Left() <=
             (kBurst + 1) * message.size() + kWindow);
  BOOST_TEST(!client.ended.has_value());
}

}  // namespace
}  // namespace sassafrasdyke::peer

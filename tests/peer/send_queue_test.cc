/// What waits for a peer, and what gives way.
#include "peer/send_queue.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "peer/peer_kinds.h"

namespace sassafrasdyke::peer {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBeat = kKindOf<core::Heartbeat>;
constexpr std::size_t kCopy = kKindOf<core::ExceptionCopy>;

class Drops final : public QueueDropListener {
 public:
  void OnQueueDrop(std::size_t kind, QueueDrop reason) override {
    this->all.emplace_back(kind, reason);
  }
  std::vector<std::pair<std::size_t, QueueDrop>> all;
};

struct Fixture {
  Drops drops;
  SendQueue queue{{.messages = 4, .bytes = 100, .age = 1000ms}, drops};

  void Push(std::size_t kind, const std::string& bytes) {
    this->queue.Push({kind, bytes, 0ms});
  }
  std::string Rest() {
    std::string rest;
    while (const auto message = this->queue.Pop(0ms)) {
      rest += message->bytes + " ";
    }
    return rest;
  }
};

// A peer reads slowly while this instance has much to say. The memory that
// waits for it must stay bounded, and copies of exceptions matter more than
// heartbeats, which the next ones replace.
BOOST_FIXTURE_TEST_CASE(oldest_heartbeats_give_way_first, Fixture) {
  this->Push(kBeat, "beat1");
  this->Push(kCopy, "copy1");
  this->Push(kBeat, "beat2");
  this->Push(kCopy, "copy2");
  this->Push(kCopy, "copy3");
  this->Push(kBeat, "beat3");
  this->Push(kCopy, "copy4");
  this->Push(kCopy, "copy5");

  BOOST_TEST(this->Rest() == "copy1 copy2 copy3 copy4 ");
  BOOST_REQUIRE(this->drops.all.size() == 4U);
  BOOST_TEST(this->drops.all[2].first == kBeat);
  BOOST_TEST(this->drops.all[3].first == kCopy);
}

BOOST_FIXTURE_TEST_CASE(bytes_are_bounded_too, Fixture) {
  this->Push(kCopy, std::string(60, 'a'));
  this->Push(kCopy, std::string(60, 'b'));
  this->Push(kCopy, std::string(40, 'c'));

  BOOST_TEST(this->queue.Bytes() == 100U);
  BOOST_TEST(this->drops.all.size() == 1U);
  this->Rest();
  BOOST_TEST(this->queue.Bytes() == 0U);
}

// A peer was out of reach for minutes. What waited for it tells of a world
// that is gone, and would be taken for news.
BOOST_FIXTURE_TEST_CASE(old_messages_are_not_sent, Fixture) {
  this->Push(kBeat, "old");
  this->queue.Push({kBeat, "new", 600ms});

  const auto message = this->queue.Pop(1001ms);

  BOOST_REQUIRE(message.has_value());
  BOOST_TEST(message->bytes == "new");
  BOOST_REQUIRE(this->drops.all.size() == 1U);
  BOOST_TEST((this->drops.all[0].second == QueueDrop::kOld));
}

}  // namespace
}  // namespace sassafrasdyke::peer

/// The queue in front of the log's writer.
#include "observe/decision_log.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <string>

namespace sassafrasdyke::observe {
namespace {

/// What a sink has seen, kept beyond the log's life.
struct Seen {
  std::vector<std::string> lines;
  std::promise<void> first_write;
  std::promise<void> release;
};

/// Stops at its first line until it is released.
class StuckSink final : public LogSink {
 public:
  explicit StuckSink(Seen& seen) : seen(seen) {}

  void Write(const LogLine& line) override {
    if (this->seen.lines.empty()) {
      this->seen.first_write.set_value();
      this->seen.release.get_future().wait();
    }
    this->seen.lines.push_back(line.json);
  }

 private:
  Seen& seen;
};

LogEvent Note() {
  return {std::chrono::system_clock::time_point{}, nullptr,
          ProcessNote{.event = "note", .detail = {}}};
}

// The disk behind the log hangs. The data path goes on: posting returns at
// once, the lines that fit are kept, and the rest is counted.
BOOST_AUTO_TEST_CASE(a_stuck_sink_costs_lines_and_not_packets) {
  constexpr std::size_t kCapacity = 4;
  Seen seen;
  {
    DecisionLog log({}, std::make_unique<StuckSink>(seen), kCapacity);
    log.Post(Note());
    seen.first_write.get_future().wait();

    for (int i = 0; i < 10; ++i) {
      log.Post(Note());
    }

    BOOST_TEST(log.Dropped() == 6U);
    BOOST_TEST(log.Written() == 0U);
    seen.release.set_value();
  }
  BOOST_TEST(seen.lines.size() == 1U + kCapacity);
}

BOOST_AUTO_TEST_CASE(a_batch_larger_than_the_room_is_cut) {
  Seen seen;
  {
    DecisionLog log({}, std::make_unique<StuckSink>(seen), 4);
    seen.release.set_value();
    log.Post(std::vector<LogEvent>(9, Note()));
    BOOST_TEST(log.Dropped() == 5U);
  }
  BOOST_TEST(seen.lines.size() == 4U);
}

}  // namespace
}  // namespace sassafrasdyke::observe

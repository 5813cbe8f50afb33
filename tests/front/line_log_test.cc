/// The log under load and with a reader that stops.
#include "front/line_log.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "front/log_pipe.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

std::size_t Lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

BOOST_AUTO_TEST_CASE(a_line_holds_identity_event_and_fields) {
  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog log(loop, pipe.WriteEnd(), {{"instance", "north-1"}});
  log.Write(LineKind::kFlow, "placed", {{"target", "t\xFF"}}, 5ms);
  log.OnTick(5ms);

  const auto line = nlohmann::json::parse(pipe.ReadAll());
  BOOST_TEST(line["instance"] == "north-1");
  BOOST_TEST(line["channel"] == "flow");
  BOOST_TEST(line["event"] == "placed");
  BOOST_TEST(line["up_ms"] == 5);
  BOOST_TEST(line["target"].get<std::string>().starts_with("t"));
}

// Guards against a name of another program's entry that fills the log.
BOOST_AUTO_TEST_CASE(a_long_text_is_shortened) {
  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog log(loop, pipe.WriteEnd(), {});
  log.Write(LineKind::kView, "target",
            {{"service", std::string(1U << 20U, 'x')}}, 5ms);
  log.OnTick(5ms);

  const std::string line = pipe.ReadAll();
  BOOST_TEST(line.size() < 1000U);
  BOOST_TEST(
      nlohmann::json::parse(line)["service"].get<std::string>().ends_with(
          "x..."));
}

// A flood of new flows would write a line each. The budget of the kind bounds
// them, says how many were left out, and leaves the other kinds theirs.
BOOST_AUTO_TEST_CASE(a_flood_costs_a_bounded_number_of_lines) {
  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog log(loop, pipe.WriteEnd(), {});
  std::string text;
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 5000; ++i) {
      log.Write(LineKind::kFlow, "placed", {}, 1000ms * second);
    }
    log.OnTick(1000ms * second);
    text += pipe.ReadAll();
  }
  log.Write(LineKind::kProcess, "stopping", {}, 10s);
  log.OnTick(10s);
  text += pipe.ReadAll();

  BOOST_TEST(Lines(text) < 1000U);
  BOOST_TEST(log.LeftOut() > 49'000U);
  BOOST_TEST(text.find("lines-left-out") != std::string::npos);
  BOOST_TEST(text.find("stopping") != std::string::npos);
}

// Whoever reads the log stops reading. The pipe is full then; a write that
// waited would stop every flow of the instance.
BOOST_AUTO_TEST_CASE(a_reader_that_stops_stops_nothing) {
  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog log(loop, pipe.WriteEnd(), {});
  const std::string long_text(1000, 'x');
  for (int second = 0; second < 200; ++second) {
    for (int i = 0; i < 40; ++i) {
      log.Write(LineKind::kView, "target", {{"name", long_text}},
                1000ms * second);
    }
    log.OnTick(1000ms * second);
  }
  BOOST_TEST(log.LeftOut() > 0U);

  // The reader comes back: whole lines, and a word on those that were left out.
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    log.OnTick(200s + 100ms * i);
  }
  text += pipe.ReadAll();
  BOOST_TEST(text.find("lines-left-out") != std::string::npos);
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    BOOST_REQUIRE(nlohmann::json::accept(line));
  }
}

}  // namespace
}  // namespace sassafrasdyke::front

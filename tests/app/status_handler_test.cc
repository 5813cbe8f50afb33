/// The HTTP port's answers.
#include "app/status_handler.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "app/samples.h"
#include "config/configuration_reader.h"

namespace sassafrasdyke::app {
namespace {

struct Asked {
  const char* path;
  const char* flow;
  bool started;
  unsigned status;
};

std::ostream& operator<<(std::ostream& out, const Asked& row) {
  return out << row.path << (row.started ? " started" : " starting");
}

const Asked kAsked[] = {
    {"/metrics", nullptr, false, 200},
    {"/health", nullptr, false, 503},
    {"/health", nullptr, true, 200},
    {"/explain", nullptr, false, 200},
    {"/explain", nullptr, true, 200},
    {"/explain", "198.51.100.7:1->192.0.2.10:443", true, 200},
    {"/explain", "198.51.100.7:1->192.0.2.10:443", false, 503},
    {"/explain", "198.51.100.7:1->192.0.2.99:443", true, 404},
    {"/explain", "nonsense", true, 400},
    {"/", nullptr, true, 404},
    {"/metrics/../etc", nullptr, true, 404},
};

BOOST_DATA_TEST_CASE(answers_what_it_knows, kAsked, row) {
  const observe::Metrics metrics;
  observe::StateBoard board;
  StatusHandler handler({{1}, {1}}, metrics, board);
  if (row.started) {
    observe::ControlState state;
    state.configuration = std::make_shared<const core::Configuration>(
        *config::ReadConfigurationText(kConfigurationText));
    board.Publish(state);
  }

  observe::HttpRequest request{.path = row.path, .flow = {}};
  if (row.flow != nullptr) {
    request.flow = row.flow;
  }

  BOOST_TEST(handler.Answer(request).status == row.status);
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_is_not_healthy) {
  const observe::Metrics metrics;
  observe::StateBoard board;
  StatusHandler handler({{1}, {1}}, metrics, board);
  observe::ControlState state;
  state.configuration = std::make_shared<const core::Configuration>();
  state.view.leaving = true;
  board.Publish(state);

  const auto answer = handler.Answer({.path = "/health", .flow = {}});

  BOOST_TEST(answer.status == 503U);
  BOOST_TEST(answer.body == "leaving\n");
}

}  // namespace
}  // namespace sassafrasdyke::app

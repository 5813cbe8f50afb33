/// Trial connections to targets that live, that have gone and that hang.
#include "front/connect_probe.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "http/scripted_server.h"
#include "support/run_loop.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

class Recorder final : public ProbeListener {
 public:
  void OnProbeEnded(const ProbeResult& result) override {
    this->result = result;
  }
  std::optional<ProbeResult> result;
};

core::ProbeOutcome Try(ev::loop_ref loop, const common::Endpoint& address) {
  Recorder recorder;
  ConnectProber prober(loop, recorder);
  prober.Start({7}, address, 10ms);
  tests::RunUntil(loop, [&] { return recorder.result.has_value(); });
  BOOST_TEST(recorder.result->target.value == 7U);
  BOOST_TEST(recorder.result->started_at.count() == 10);
  return recorder.result->outcome;
}

BOOST_AUTO_TEST_CASE(a_target_that_listens_answers) {
  ev::dynamic_loop loop;
  const http::ScriptedServer server(loop);

  BOOST_TEST((Try(loop, server.Address()) == core::ProbeOutcome::kAnswered));
}

// A target's process has ended and its machine lives: the answer is certain at
// once, and no second trial is needed.
BOOST_AUTO_TEST_CASE(a_port_where_nobody_listens_refuses) {
  ev::dynamic_loop loop;
  common::Endpoint address;
  { address = http::ScriptedServer(loop).Address(); }

  BOOST_TEST((Try(loop, address) == core::ProbeOutcome::kRefused));
}

}  // namespace
}  // namespace sassafrasdyke::front

/// Trial connections to targets that live, that have gone and that hang.
#include "front/connect_probe.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
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

core::ProbeOutcome Try(ev::loop_ref loop, const common::Endpoint& address,
                       std::optional<common::Endpoint> control = {}) {
  Recorder recorder;
  ConnectProber prober(loop, recorder);
  prober.Start({{7}, address, control}, 10ms);
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

/// An address where connections are never taken: its queue is full.
class FullListener {
 public:
  FullListener() {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(this->listener, generic, size) == 0);
    BOOST_REQUIRE(listen(this->listener, 0) == 0);
    BOOST_REQUIRE(getsockname(this->listener, generic, &size) == 0);
    this->port = ntohs(address.sin_port);
    for (int& client : this->clients) {
      client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Whether it is taken or waits, it fills the queue.
      static_cast<void>(connect(client, generic, size));
    }
  }
  ~FullListener() {
    for (const int client : this->clients) {
      close(client);
    }
    close(this->listener);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  common::Endpoint Address() const {
    return {common::IpAddress::FromV4(INADDR_LOOPBACK), this->port};
  }

 private:
  int listener{-1};
  std::uint16_t port{0};
  std::array<int, 4> clients{};
};

// A target takes no connection. If nobody else does either, the reason may lie
// in this instance, and the target's flows stay.
BOOST_AUTO_TEST_CASE(silence_without_a_control_is_unclear) {
  ev::dynamic_loop loop;
  const FullListener silent;

  BOOST_TEST((Try(loop, silent.Address()) == core::ProbeOutcome::kUnclear));
  BOOST_TEST((Try(loop, silent.Address(), silent.Address()) ==
              core::ProbeOutcome::kUnclear));
}

}  // namespace
}  // namespace sassafrasdyke::front

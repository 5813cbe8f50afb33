/// One whole instance on loopback sockets, with a platform, a fabric and a
/// target made by the test. Waits for what must come, never for time.
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "app/http_get.h"
#include "app/instance_process.h"
#include "app/run.h"
#include "config/settings.h"
#include "datapath/gue.h"
#include "datapath/packets.h"
#include "datapath/tunnel_socket.h"
#include "observe/http_server.h"

namespace sassafrasdyke::app {
namespace {

using datapath::Bytes;
using datapath::TunnelSocket;
using Json = nlohmann::json;

/// Publishes one revision of both documents.
class StandInPlatform final : public observe::HttpHandler {
 public:
  observe::HttpResponse Answer(const observe::HttpRequest& request) override {
    const bool configuration = request.path == "/configuration";
    return {.body =
                (configuration ? this->configuration : this->instances).dump()};
  }

  Json configuration;
  Json instances;
};

std::unique_ptr<TunnelSocket> OpenSocket() {
  auto socket = TunnelSocket::Open(*common::Endpoint::Parse("127.0.0.1:0"));
  BOOST_REQUIRE(socket.has_value());
  return std::move(*socket);
}

/// An endpoint on a loopback address that only this process uses, so that
/// tests side by side don't take each other's ports.
std::string OwnEndpoint(std::uint16_t port) {
  constexpr std::uint32_t kLoopback = 0x7F400000;
  constexpr std::uint32_t kHostBits = 0x3FFFFF;
  const auto pid = static_cast<std::uint32_t>(getpid());
  const auto address = common::IpAddress::FromV4(kLoopback | (pid & kHostBits));
  return common::Endpoint{address, port}.ToString();
}

constexpr std::uint16_t kTunnelPort = 6080;
constexpr std::uint16_t kControlPort = 6081;
constexpr std::uint16_t kMetricsPort = 9100;

/// Sends `inner` until `receiver` gets something, and returns that without its
/// GUE header. Packets before the first configuration are dropped, so a caller
/// sends its SYN again.
Bytes SendUntilReceived(TunnelSocket& fabric, const common::Endpoint& tunnel,
                        const Bytes& inner, TunnelSocket& receiver) {
  constexpr int kTries = 600;
  constexpr int kWaitMilliseconds = 50;
  for (int tried = 0; tried < kTries; ++tried) {
    fabric.Send(std::vector<datapath::OutgoingDatagram>{
        {tunnel, datapath::EncodeForTarget(inner), inner}});
    pollfd waited{.fd = receiver.Descriptor(), .events = POLLIN, .revents = 0};
    poll(&waited, 1, kWaitMilliseconds);
    const auto received = receiver.Receive();
    if (!received.empty()) {
      const auto decoded = datapath::DecodeGue(received.front().bytes);
      BOOST_REQUIRE(decoded.has_value());
      return {decoded->inner.begin(), decoded->inner.end()};
    }
  }
  return {};
}

/// An instance that runs on a thread of the test.
struct Fixture {
  Fixture() {
    const std::string tunnel = OwnEndpoint(kTunnelPort);
    const std::string control = OwnEndpoint(kControlPort);
    this->platform.configuration = {
        {"revision", 1},
        {"fleet", "lensmoor"},
        {"hash_seed", 42},
        {"defaults",
         {{"fleet", {{"leave_quiet_ms", 100}, {"leave_deadline_ms", 1000}}}}},
        {"domains", {{"north-1", {{"id", 1}, {"region", "north"}}}}},
        {"services", {{"diary", {{"id", 1}, {"address", "192.0.2.10:443"}}}}},
        {"targets",
         {{"diary-01",
           {{"id", 101},
            {"service", "diary"},
            {"domain", "north-1"},
            {"tunnel", this->target->Local().ToString()}}}}}};
    this->platform.instances = {{"revision", 1},
                                {"instances",
                                 {{"a1",
                                   {{"id", 1},
                                    {"domain", 1},
                                    {"incarnation", 1},
                                    {"tunnel", tunnel},
                                    {"control", control},
                                    {"state", "live"}}}}}};
    auto server = observe::HttpServer::Open(
        *common::Endpoint::Parse("127.0.0.1:0"), this->platform);
    BOOST_REQUIRE(server.has_value());
    this->server = std::move(*server);
    this->StartInstance(tunnel, control);
  }

  ~Fixture() { this->Stop(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void StartInstance(const std::string& tunnel, const std::string& control) {
    config::Settings settings;
    settings.instance = {1};
    settings.domain = {1};
    settings.tunnel.listen = *common::Endpoint::Parse(tunnel);
    settings.control.listen = *common::Endpoint::Parse(control);
    settings.metrics.listen =
        *common::Endpoint::Parse(OwnEndpoint(kMetricsPort));
    settings.platform.url =
        "http://127.0.0.1:" + std::to_string(this->server->Port());
    settings.fabric.return_to = this->fabric->Local();
    settings.log.file = (this->folder.path / "log").string();
    this->settings = settings;
    this->instance = std::thread(
        [this] { this->ended = RunInstance(this->settings).has_value(); });
  }

  /// Ends the instance as an operator does.
  void Stop() {
    if (this->instance.joinable()) {
      std::raise(SIGTERM);
      this->instance.join();
    }
  }

  Bytes Send(const Bytes& inner, TunnelSocket& receiver) {
    return SendUntilReceived(*this->fabric, this->settings.tunnel.listen, inner,
                             receiver);
  }

  std::string Log() const {
    std::ifstream file(this->settings.log.file);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  TestFolder folder;
  std::unique_ptr<TunnelSocket> fabric = OpenSocket();
  std::unique_ptr<TunnelSocket> target = OpenSocket();
  StandInPlatform platform;
  std::unique_ptr<observe::HttpServer> server;
  config::Settings settings;
  bool ended{false};
  std::thread instance;
};

BOOST_AUTO_TEST_CASE(a_flow_reaches_its_target_and_is_logged_once) {
  Fixture fixture;
  const Bytes syn = datapath::Serialize({});
  const Bytes data = datapath::Serialize(
      {.flags = Tins::TCP::ACK, .sequence = 1001, .payload = "confirm"});

  BOOST_TEST(fixture.Send(syn, *fixture.target) == syn);
  BOOST_TEST(fixture.Send(data, *fixture.target) == data);
  const auto explained =
      HttpGet(fixture.settings.metrics.listen, "/explain",
              {"flow", "198.51.100.7:40000->192.0.2.10:443"});
  fixture.Stop();

  BOOST_TEST(fixture.ended);
  BOOST_TEST(explained.has_value());
  const std::string log = fixture.Log();
  const std::size_t placed = log.find("\"decision\":\"placed\"");
  BOOST_TEST(placed != std::string::npos);
  BOOST_TEST(log.find("\"decision\":\"placed\"", placed + 1) ==
             std::string::npos);
  BOOST_TEST(Contains(log, "\"event\":\"left\""));
}

// A packet for an address that no service has must never be guessed to belong
// to one. It is counted; what comes behind it is served.
BOOST_AUTO_TEST_CASE(a_packet_for_no_service_goes_nowhere) {
  Fixture fixture;
  const Bytes syn = datapath::Serialize({});
  const Bytes foreign = datapath::Serialize({.family = datapath::Family::kV6});
  BOOST_TEST(fixture.Send(syn, *fixture.target) == syn);

  fixture.fabric->Send(std::vector<datapath::OutgoingDatagram>{
      {fixture.settings.tunnel.listen, datapath::EncodeForTarget(foreign),
       foreign}});

  BOOST_TEST(fixture.Send(syn, *fixture.target) == syn);
  fixture.Stop();
  BOOST_TEST(fixture.target->Receive().empty());
}

}  // namespace
}  // namespace sassafrasdyke::app

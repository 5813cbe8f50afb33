#include "app/instance_process.h"

#include <curl/curl.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <utility>
#include <variant>

#include "app/clock.h"
#include "app/control_task.h"
#include "app/data_task.h"
#include "app/status_handler.h"
#include "core/balancer.h"
#include "datapath/tunnel_socket.h"
#include "observe/decision_log.h"
#include "observe/http_server.h"
#include "observe/log_sink.h"
#include "observe/metrics.h"
#include "observe/state_board.h"

namespace sassafrasdyke::app {
namespace {

/// Lines that wait for the log's writer: about a second of a busy instance.
constexpr std::size_t kLogCapacity = 20'000;

/// Lives are told apart by the time they start: an instance keeps nothing, so
/// no counter could outlast it.
common::Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return {static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count())};
}

std::string Sentence(const datapath::SocketError& error,
                     const common::Endpoint& endpoint) {
  return "the tunnel " + endpoint.ToString() +
         " can't be opened: " + error.operation + ": " + error.code.message();
}

/// libcurl's global state, for the process's life.
class CurlLibrary {
 public:
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlLibrary() { curl_global_cleanup(); }
  CurlLibrary(const CurlLibrary&) = delete;
  CurlLibrary& operator=(const CurlLibrary&) = delete;
};

void SendToControl(Mailbox<ControlMessage>& mail, ControlMessage message) {
  // The data task forwards nothing until a noticed pause is answered, so this
  // message alone must not be lost in a full mailbox.
  if (std::holds_alternative<PauseNoticed>(message)) {
    mail.Post(std::move(message));
  } else {
    mail.Offer(std::move(message));
  }
}

}  // namespace

tl::expected<void, std::string> RunInstance(const config::Settings& settings) {
  // A peer that closes its stream while we write must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const CurlLibrary curl;
  const SystemClock clock;
  const core::SelfIdentity self{settings.instance, settings.domain,
                                NewIncarnation()};
  const observe::LogIdentity identity{settings.instance, settings.domain};

  auto sink = observe::Log4cplusSink::Open(settings.log);
  if (!sink) {
    return tl::unexpected(sink.error());
  }
  auto socket = datapath::TunnelSocket::Open(settings.tunnel.listen);
  if (!socket) {
    return tl::unexpected(Sentence(socket.error(), settings.tunnel.listen));
  }
  observe::Metrics metrics;
  observe::StateBoard board;
  StatusHandler handler(identity, metrics, board);
  auto server = observe::HttpServer::Open(settings.metrics.listen, handler);
  if (!server) {
    return tl::unexpected(server.error());
  }

  observe::DecisionLog log(identity, std::move(*sink), kLogCapacity);
  ControlTask control({settings, self, clock, log, metrics, board});
  if (const auto opened = control.OpenPeers(); !opened) {
    return tl::unexpected(opened.error());
  }
  DataTask data({.self = self.id,
                 .socket = std::move(*socket),
                 .balancer = core::MakeBalancer(self.id, self.incarnation),
                 .fabric_return = settings.fabric.return_to,
                 .clock = clock,
                 .log = log,
                 .to_control = [&control](ControlMessage message) {
                   SendToControl(control.Mail(), std::move(message));
                 }});
  data.Start();
  control.Run(data.Mail());
  data.Stop();
  return {};
}

}  // namespace sassafrasdyke::app

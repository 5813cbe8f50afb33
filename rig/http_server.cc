#include "rig/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>
#include <stdexcept>
#include <string_view>

#include "rig/socket.h"

namespace sassafrasdyke::rig {
namespace {

constexpr double kTickSeconds = 0.02;
constexpr double kMillisecondsPerSecond = 1000.0;

std::optional<std::uint64_t> QueryNumber(MHD_Connection* connection,
                                         const char* key) {
  const char* text =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, key);
  if (text == nullptr) {
    return std::nullopt;
  }
  const std::string_view view(text);
  std::uint64_t number = 0;
  const auto [rest, error] =
      std::from_chars(view.data(), view.data() + view.size(), number);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

HttpServer::HttpServer(const common::Endpoint& listen, HttpHandler& handler)
    : handler(handler) {
  const common::SocketAddress address = common::ToSocketAddress(listen);
  this->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, listen.port, nullptr, nullptr,
      &HttpServer::OnAccess, this, MHD_OPTION_SOCK_ADDR, &address.storage,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &HttpServer::OnCompleted, this, MHD_OPTION_END);
  if (this->daemon == nullptr) {
    throw std::runtime_error("can't listen on " + listen.ToString());
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->readable.set<HttpServer, &HttpServer::OnReadable>(this);
  this->readable.start(info->epoll_fd, ev::READ);
  this->tick.set<HttpServer, &HttpServer::OnTick>(this);
  this->tick.start(kTickSeconds, kTickSeconds);
}

HttpServer::~HttpServer() {
  for (auto& [connection, exchange] : this->exchanges) {
    if (exchange.held) {
      exchange.reply = HttpReply{.kind = HttpReply::Kind::kHangUp};
      MHD_resume_connection(connection);
    }
  }
  MHD_run(this->daemon);
  MHD_stop_daemon(this->daemon);
}

MHD_Result HttpServer::OnAccess(void* self, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* /*version*/, const char* /*upload*/,
                                std::size_t* upload_size, void** exchange) {
  auto* const server = static_cast<HttpServer*>(self);
  if (std::strcmp(method, MHD_HTTP_METHOD_GET) != 0 || *upload_size != 0) {
    return MHD_NO;
  }
  if (*exchange == nullptr) {
    Exchange& fresh = server->exchanges[connection];
    fresh = Exchange{};
    fresh.connection = connection;
    fresh.came = ev_time();
    fresh.request.path = url;
    fresh.request.after = QueryNumber(connection, "after");
    fresh.request.wait = std::chrono::milliseconds{
        QueryNumber(connection, "wait_ms").value_or(0)};
    ++server->requests;
    *exchange = &fresh;
    return MHD_YES;
  }
  return server->Serve(*static_cast<Exchange*>(*exchange));
}

void HttpServer::OnCompleted(void* self, MHD_Connection* connection,
                             void** /*exchange*/,
                             MHD_RequestTerminationCode /*code*/) {
  static_cast<HttpServer*>(self)->exchanges.erase(connection);
}

MHD_Result HttpServer::Serve(Exchange& exchange) {
  const HttpReply reply =
      exchange.reply ? *exchange.reply : this->Ask(exchange);
  if (reply.kind == HttpReply::Kind::kHangUp) {
    return MHD_NO;
  }
  if (reply.kind == HttpReply::Kind::kHold) {
    exchange.held = true;
    MHD_suspend_connection(exchange.connection);
    return MHD_YES;
  }
  MHD_Response* response = MHD_create_response_from_buffer(
      reply.body.size(), const_cast<char*>(reply.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          "application/json");
  const MHD_Result queued =
      MHD_queue_response(exchange.connection, reply.status, response);
  MHD_destroy_response(response);
  return queued;
}

HttpReply HttpServer::Ask(const Exchange& exchange) {
  const double held = (ev_time() - exchange.came) * kMillisecondsPerSecond;
  return this->handler.OnRequest(
      exchange.request,
      std::chrono::milliseconds{static_cast<std::int64_t>(held)});
}

void HttpServer::OnTick(ev::timer& /*timer*/, int /*events*/) {
  for (auto& [connection, exchange] : this->exchanges) {
    if (!exchange.held) {
      continue;
    }
    if (HttpReply reply = this->Ask(exchange);
        reply.kind != HttpReply::Kind::kHold) {
      exchange.held = false;
      exchange.reply = std::move(reply);
      MHD_resume_connection(connection);
    }
  }
  MHD_run(this->daemon);
}

void HttpServer::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  MHD_run(this->daemon);
}

}  // namespace sassafrasdyke::rig

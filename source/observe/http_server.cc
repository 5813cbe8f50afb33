#include "observe/http_server.h"

#include <microhttpd.h>

#include <cerrno>
#include <cstring>

#include "common/socket_address.h"

namespace sassafrasdyke::observe {
namespace {

// A scraper that never reads its answer must not hold memory for ever.
constexpr unsigned kIdleSeconds = 10;
constexpr unsigned kMaxConnections = 64;

std::optional<std::string> ArgumentOf(MHD_Connection* connection,
                                      const char* name) {
  const char* const value =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return value == nullptr ? std::nullopt
                          : std::optional<std::string>(std::string(value));
}

MHD_Result Queue(MHD_Connection* connection, const HttpResponse& answer) {
  // The copy is libmicrohttpd's; the type says void* for either use.
  MHD_Response* const response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (response == nullptr) {
    return MHD_NO;
  }
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          answer.content_type.c_str());
  const MHD_Result result =
      MHD_queue_response(connection, answer.status, response);
  MHD_destroy_response(response);
  return result;
}

/// libmicrohttpd's callback; `context` is the handler.
MHD_Result OnRequest(void* context, MHD_Connection* connection,
                     const char* path, const char* method, const char*,
                     const char*, size_t*, void**) {
  if (std::strcmp(method, MHD_HTTP_METHOD_GET) != 0) {
    return Queue(connection,
                 {MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain", "GET only\n"});
  }
  auto* const handler = static_cast<HttpHandler*>(context);
  return Queue(connection,
               handler->Answer({path, ArgumentOf(connection, "flow")}));
}

}  // namespace

tl::expected<std::unique_ptr<HttpServer>, std::string> HttpServer::Open(
    const common::Endpoint& listen, HttpHandler& handler) {
  const common::SocketAddress address = common::ToSocketAddress(listen);
  const unsigned family = listen.address.IsV4() ? 0U : unsigned{MHD_USE_IPv6};
  MHD_Daemon* const daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | family, 0, nullptr, nullptr, &OnRequest,
      &handler, MHD_OPTION_SOCK_ADDR, address.Get(),
      MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleSeconds, MHD_OPTION_END);
  if (daemon == nullptr) {
    return tl::unexpected("the metrics port " + listen.ToString() +
                          " can't be opened: " + std::strerror(errno));
  }
  return std::unique_ptr<HttpServer>(new HttpServer(daemon));
}

HttpServer::~HttpServer() { MHD_stop_daemon(this->daemon); }

std::uint16_t HttpServer::Port() const {
  const MHD_DaemonInfo* const info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? std::uint16_t{0} : info->port;
}

}  // namespace sassafrasdyke::observe

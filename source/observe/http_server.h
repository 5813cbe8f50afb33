/// The read-only HTTP port: metrics, explanations, health.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/address.h"

struct MHD_Daemon;

namespace sassafrasdyke::observe {

/// A GET as the handlers see it.
struct HttpRequest {
  std::string path;
  std::optional<std::string> flow;  ///< The argument `flow`.
};

/// An answer.
struct HttpResponse {
  unsigned status{200};
  std::string content_type{"application/json"};
  std::string body;
};

/// Answers requests. Called on the server's own thread.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual HttpResponse Answer(const HttpRequest& request) = 0;
};

/// Serves GET requests over libmicrohttpd on a thread of its own.
class HttpServer {
 public:
  /// Listens on `listen`; `handler` must outlive the server. The error is a
  /// sentence for a person.
  static tl::expected<std::unique_ptr<HttpServer>, std::string> Open(
      const common::Endpoint& listen, HttpHandler& handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port; tells which when 0 was asked for.
  std::uint16_t Port() const;

 private:
  explicit HttpServer(MHD_Daemon* daemon) : daemon(daemon) {}

  MHD_Daemon* daemon;
};

}  // namespace sassafrasdyke::observe

/// A small HTTP server on libev (libmicrohttpd) that may hold its answers, as
/// a watch needs.
#pragma once

#include <ev++.h>
#include <microhttpd.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/address.h"

namespace sassafrasdyke::rig {

/// A GET request.
struct HttpRequest {
  std::string path;
  std::optional<std::uint64_t> after;  ///< The query's revision, in a watch.
  std::chrono::milliseconds wait{0};   ///< How long a watch may be held.
};

/// What to do with a request now.
struct HttpReply {
  enum class Kind { kAnswer, kHold, kHangUp };
  Kind kind{Kind::kAnswer};
  unsigned status{200};
  std::string body{};
};

/// Decides about requests.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /// Asked when the request comes, and again from time to time while held;
  /// `held` is the time since it came.
  virtual HttpReply OnRequest(const HttpRequest& request,
                              std::chrono::milliseconds held) = 0;
};

/// One listening address.
class HttpServer {
 public:
  /// `handler` must outlive it. Throws std::runtime_error when it can't listen.
  HttpServer(const common::Endpoint& listen, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Requests so far, a held one counted once.
  std::uint64_t Requests() const { return this->requests; }

 private:
  struct Exchange {
    HttpRequest request;
    ev::tstamp came{0};
    MHD_Connection* connection{nullptr};
    bool held{false};
    std::optional<HttpReply> reply;
  };

  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* upload,
                             std::size_t* upload_size, void** exchange);
  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** exchange, MHD_RequestTerminationCode code);
  MHD_Result Serve(Exchange& exchange);
  HttpReply Ask(const Exchange& exchange);
  void OnTick(ev::timer& timer, int events);
  void OnReadable(ev::io& watcher, int events);

  HttpHandler& handler;
  MHD_Daemon* daemon{nullptr};
  std::map<MHD_Connection*, Exchange> exchanges;
  std::uint64_t requests{0};
  ev::io readable;
  ev::timer tick;
};

}  // namespace sassafrasdyke::rig

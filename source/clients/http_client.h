/// HTTP GET requests by libcurl's multi interface on a libev loop. Nothing
/// blocks, every request has a deadline, every answer a largest size.
#pragma once

#include <curl/curl.h>
#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::clients {

/// Names a request for as long as it runs.
using HttpRequestId = common::Id<struct HttpRequestTag, std::uint64_t>;

/// What to ask for.
struct HttpRequest {
  std::string url;
  std::chrono::milliseconds deadline{0};  ///< For the whole exchange.
  std::size_t max_body{0};                ///< Greatest body, in bytes.
};

/// An answer with any status.
struct HttpAnswer {
  long status{0};  // NOLINT(google-runtime-int): the library's type.
  std::string body;
};

/// Why there is no answer.
enum class HttpFailure {
  kUnreachable,  ///< No connection, or it was lost.
  kTimeout,      ///< The deadline passed.
  kTooLarge,     ///< The body was greater than allowed.
};

/// Takes the outcome of requests.
class HttpListener {
 public:
  virtual ~HttpListener() = default;

  /// Called once for each request that wasn't cancelled, from the loop. May
  /// start and cancel requests, but not destroy the client.
  virtual void OnHttpOutcome(
      HttpRequestId request,
      const tl::expected<HttpAnswer, HttpFailure>& outcome) = 0;
};

/// Runs requests; connections are kept and used again.
class HttpClient {
 public:
  explicit HttpClient(ev::loop_ref loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a request. `listener` must outlive it.
  HttpRequestId Get(const HttpRequest& request, HttpListener& listener);
  /// Ends a request without an outcome; does nothing if it has ended.
  void Cancel(HttpRequestId request);

 private:
  struct EasyDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
  };
  struct MultiDeleter {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
  };

  /// A request that runs.
  struct Transfer {
    HttpListener* listener{nullptr};
    std::unique_ptr<CURL, EasyDeleter> easy;
    std::size_t max_body{0};
    bool too_large{false};
    std::string body;
  };

  static int OnSocketChange(CURL* easy, curl_socket_t socket, int what,
                            void* client, void* unused);
  static int OnTimerChange(CURLM* multi,
                           long timeout_ms,  // NOLINT(google-runtime-int)
                           void* client);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* transfer);

  void SetUp(Transfer& transfer, HttpRequestId id, const HttpRequest& request);
  void Watch(curl_socket_t socket, int what);
  void OnSocketReady(ev::io& watcher, int events);
  void OnTimeout(ev::timer& watcher, int events);
  void Act(curl_socket_t socket, int action);
  void Deliver();
  static tl::expected<HttpAnswer, HttpFailure> OutcomeOf(Transfer& transfer,
                                                         CURLcode code);

  ev::loop_ref loop;
  std::unique_ptr<CURLM, MultiDeleter> multi;
  ev::timer timer;
  std::unordered_map<curl_socket_t, ev::io> sockets;
  std::unordered_map<HttpRequestId, Transfer> transfers;
  std::uint64_t last_id{0};
};

}  // namespace sassafrasdyke::clients

/// HTTP/1.1 GET requests over one kept connection, one at a time, on a libev
/// loop. Nothing blocks; every request has a deadline and a largest answer.
///
/// libcurl loads some thirty shared libraries and takes 9 MB and 10 ms of
/// processor time before `main`; on a machine with a twentieth of a core that
/// is a fifth of a second added to each restart. Only the parser is a library
/// here (http_parser).
#pragma once

#include <ev++.h>
#include <http_parser.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <tl/expected.hpp>

#include "common/address.h"
#include "http/stream_socket.h"

namespace sassafrasdyke::http {

/// What to ask for.
struct GetRequest {
  common::Endpoint server;
  std::string path;                       ///< With the query.
  std::chrono::milliseconds deadline{0};  ///< For the whole exchange.
  std::size_t max_body{0};                ///< Greatest body, in bytes.
  /// Longest time without receiving bytes of the answer. 0: limited by the
  /// deadline only.
  std::chrono::milliseconds stall_timeout{0};
};

/// An answer with any status.
struct GetAnswer {
  unsigned status{0};
  std::string body;
  /// When its first bytes came: the server made it before then.
  std::chrono::steady_clock::time_point began_at{};
};

/// The time since `began_at`, rounded up.
inline std::chrono::milliseconds TimeSince(
    std::chrono::steady_clock::time_point began_at) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - began_at);
}

/// Why there is no answer.
enum class GetFailure {
  kUnreachable,  ///< No connection, or it was lost.
  kTimeout,      ///< The deadline passed.
  kTooLarge,     ///< The body was greater than allowed.
  kMalformed,    ///< The bytes are no answer in HTTP/1.1.
};

/// The log's word for a failure.
std::string_view Word(GetFailure failure);

/// Takes outcomes.
class GetListener {
 public:
  virtual ~GetListener() = default;

  /// Called once for each request that wasn't cancelled, from the loop. May
  /// start the next request.
  virtual void OnGetOutcome(
      const tl::expected<GetAnswer, GetFailure>& outcome) = 0;
};

/// One connection. It is kept after a whole answer, and closed after anything
/// else: on a connection that lost an answer nothing further may arrive.
class GetConnection {
 public:
  /// `listener` must outlive the connection.
  GetConnection(ev::loop_ref loop, GetListener& listener);
  GetConnection(const GetConnection&) = delete;
  GetConnection& operator=(const GetConnection&) = delete;

  /// Starts a request; one that runs is cancelled.
  void Get(const GetRequest& request);
  /// Ends a running request without an outcome, and closes the connection.
  void Cancel();
  bool Busy() const { return this->busy; }

 private:
  friend struct GetCallbacks;

  void Connect();
  /// Sets the timer to the deadline or the stall timeout, whichever is earlier.
  void RestartTimer();
  void OnReady(ev::io& watcher, int events);
  void OnDeadline(ev::timer& watcher, int events);
  void Write();
  void Read();
  /// Hands `size` bytes to the parser; 0 means that the server closed.
  void Feed(const char* bytes, std::size_t size);
  void OnLost();
  void Finish(const tl::expected<GetAnswer, GetFailure>& outcome);
  void Close();

  GetListener& listener;
  ev::io ready;
  ev::timer deadline;
  ev::tstamp deadline_at{0};  ///< In the loop's time.
  StreamSocket socket;
  common::Endpoint connected_to;
  GetRequest request;
  std::string unsent;
  http_parser parser{};
  GetAnswer answer;
  bool busy{false};
  bool reused{false};     ///< The request runs on a kept connection.
  bool any_bytes{false};  ///< Of the answer.
  bool complete{false};
  bool too_large{false};
};

}  // namespace sassafrasdyke::http

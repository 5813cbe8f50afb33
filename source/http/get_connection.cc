#include "http/get_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstdint>
#include <utility>

namespace sassafrasdyke::http {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
/// Bytes read at once; an ordinary answer of the store fits.
constexpr std::size_t kReadBytes = 16'384;

ev::tstamp Seconds(std::chrono::milliseconds time) {
  return static_cast<double>(time.count()) / kMillisecondsPerSecond;
}

}  // namespace

/// The parser's callbacks.
struct GetCallbacks {
  static GetConnection& Of(http_parser* parser) {
    return *static_cast<GetConnection*>(parser->data);
  }

  static int OnBody(http_parser* parser, const char* bytes, std::size_t size) {
    GetConnection& connection = Of(parser);
    std::string& body = connection.answer.body;
    // A server gone wrong may answer without end; keeping it all would take
    // the memory of the whole process, and the kernel would end it.
    if (body.size() + size > connection.request.max_body) {
      connection.too_large = true;
      return 1;
    }
    body.append(bytes, size);
    return 0;
  }

  /// Rejects an answer whose Content-Length exceeds the limit before its body
  /// is received.
  static int OnHeaders(http_parser* parser) {
    constexpr std::uint64_t kNoContentLength = ULLONG_MAX;
    GetConnection& connection = Of(parser);
    connection.too_large = parser->content_length != kNoContentLength &&
                           parser->content_length > connection.request.max_body;
    return connection.too_large ? -1 : 0;
  }

  static int OnComplete(http_parser* parser) {
    Of(parser).complete = true;
    // Stops at the answer's end: bytes behind it belong to no request.
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_headers_complete = &OnHeaders;
      made.on_body = &OnBody;
      made.on_message_complete = &OnComplete;
      return made;
    }();
    return settings;
  }
};

std::string_view Word(GetFailure failure) {
  switch (failure) {
    case GetFailure::kUnreachable:
      return "unreachable";
    case GetFailure::kTimeout:
      return "timeout";
    case GetFailure::kTooLarge:
      return "too-large";
    case GetFailure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

GetConnection::GetConnection(ev::loop_ref loop, GetListener& listener)
    : listener(listener), ready(loop), deadline(loop) {
  this->ready.set<GetConnection, &GetConnection::OnReady>(this);
  this->deadline.set<GetConnection, &GetConnection::OnDeadline>(this);
}

void GetConnection::Get(const GetRequest& request) {
  if (this->busy) {
    this->Cancel();
  }
  this->request = request;
  this->busy = true;
  this->reused = this->socket.IsOpen() && this->connected_to == request.server;
  this->deadline_at = ev_now(this->deadline.loop) + Seconds(request.deadline);
  this->RestartTimer();
  if (!this->reused) {
    this->Close();
  }
  this->Connect();
}

void GetConnection::Connect() {
  this->unsent = "GET " + this->request.path +
                 " HTTP/1.1\r\nHost: " + this->request.server.ToString() +
                 "\r\n\r\n";
  this->answer = {};
  this->any_bytes = false;
  this->complete = false;
  this->too_large = false;
  http_parser_init(&this->parser, HTTP_RESPONSE);
  this->parser.data = this;
  if (!this->socket.IsOpen()) {
    auto opened = StreamSocket::Connect(this->request.server);
    if (!opened) {
      // The outcome comes from the loop, never from inside Get.
      this->deadline.start(0.0);
      return;
    }
    this->socket = std::move(*opened);
    this->connected_to = this->request.server;
  }
  this->ready.start(this->socket.Descriptor(), ev::READ | ev::WRITE);
}

void GetConnection::RestartTimer() {
  const ev::tstamp left = this->deadline_at - ev_now(this->deadline.loop);
  const ev::tstamp stall = this->request.stall_timeout.count() > 0
                               ? Seconds(this->request.stall_timeout)
                               : left;
  this->deadline.start(std::max(std::min(left, stall), 0.0));
}

void GetConnection::Cancel() {
  this->deadline.stop();
  this->busy = false;
  this->Close();
}

void GetConnection::Close() {
  this->ready.stop();
  this->socket.Close();
}

void GetConnection::OnDeadline(ev::timer& /*watcher*/, int /*events*/) {
  const GetFailure failure =
      this->socket.IsOpen() ? GetFailure::kTimeout : GetFailure::kUnreachable;
  this->Close();
  this->Finish(tl::unexpected(failure));
}

void GetConnection::OnReady(ev::io& /*watcher*/, int events) {
  if ((events & ev::WRITE) != 0 && !this->unsent.empty()) {
    this->Write();
  }
  if ((events & ev::READ) != 0 && this->socket.IsOpen()) {
    this->Read();
  }
}

void GetConnection::Write() {
  const ssize_t sent = send(this->socket.Descriptor(), this->unsent.data(),
                            this->unsent.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      this->OnLost();
    }
    return;
  }
  this->unsent.erase(0, static_cast<std::size_t>(sent));
  if (this->unsent.empty()) {
    this->ready.set(ev::READ);
  }
}

void GetConnection::Read() {
  std::array<char, kReadBytes> bytes;
  while (this->socket.IsOpen()) {
    const ssize_t size =
        recv(this->socket.Descriptor(), bytes.data(), bytes.size(), 0);
    if (size < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        this->OnLost();
      }
      return;
    }
    if (!this->busy) {
      this->Close();  // Closed while idle, or bytes that nobody asked for.
      return;
    }
    this->Feed(bytes.data(), static_cast<std::size_t>(size));
    if (size == 0 || static_cast<std::size_t>(size) < bytes.size()) {
      return;
    }
  }
}

void GetConnection::Feed(const char* bytes, std::size_t size) {
  if (size == 0 && !this->any_bytes) {
    this->OnLost();
    return;
  }
  if (!this->any_bytes) {
    this->any_bytes = true;
    this->answer.began_at = std::chrono::steady_clock::now();
  }
  http_parser_execute(&this->parser, &GetCallbacks::Settings(), bytes, size);
  if (this->complete) {
    this->answer.status = this->parser.status_code;
    if (size == 0 || http_should_keep_alive(&this->parser) == 0) {
      this->Close();
    }
    this->Finish(std::move(this->answer));
    return;
  }
  if (this->too_large) {
    this->Close();
    this->Finish(tl::unexpected(GetFailure::kTooLarge));
    return;
  }
  if (size == 0) {
    this->OnLost();
    return;
  }
  this->RestartTimer();
  if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK) {
    this->Close();
    this->Finish(tl::unexpected(GetFailure::kMalformed));
  }
}

void GetConnection::OnLost() {
  this->Close();
  if (!this->busy) {
    return;
  }
  // The server may close a kept connection just as the next request leaves.
  // Taking that for an outage would start the back-off, and news would come
  // late; a GET is idempotent, so it is sent once more on a new connection.
  if (this->reused && !this->any_bytes) {
    this->reused = false;
    this->Connect();
    return;
  }
  this->Finish(tl::unexpected(GetFailure::kUnreachable));
}

void GetConnection::Finish(const tl::expected<GetAnswer, GetFailure>& outcome) {
  this->deadline.stop();
  this->busy = false;
  this->listener.OnGetOutcome(outcome);
}

}  // namespace sassafrasdyke::http

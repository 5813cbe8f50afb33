#include "http/server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace sassafrasdyke::http {
namespace {

/// Descriptors that clients may hold at once. More are closed at once, so that
/// a scraper gone wrong can't take those that forwarding needs.
constexpr std::size_t kMaxConnections = 128;
/// A client that neither asks nor reads is closed after this many seconds;
/// the routers and scrapers of the platform ask at least every 5 s.
constexpr double kIdleSeconds = 15.0;
/// Longest path with query; ours are under 100 bytes.
constexpr std::size_t kMaxPath = 1024;
constexpr std::size_t kReadBytes = 2048;

}  // namespace

/// The parser's callbacks.
struct ServerCallbacks {
  static Server::Connection& Of(http_parser* parser) {
    return *static_cast<Server::Connection*>(parser->data);
  }

  static int OnUrl(http_parser* parser, const char* bytes, std::size_t size) {
    std::string& path = Of(parser).path;
    if (path.size() + size > kMaxPath) {
      return 1;
    }
    path.append(bytes, size);
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    Of(parser).Answer();
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_url = &OnUrl;
      made.on_message_complete = &OnComplete;
      return made;
    }();
    return settings;
  }
};

tl::expected<std::unique_ptr<Server>, std::string> Server::Open(
    ev::loop_ref loop, const common::Endpoint& listen, Handler& handler) {
  auto socket = StreamSocket::Listen(listen);
  if (!socket) {
    return tl::unexpected("the port " + listen.ToString() +
                          " can't be opened: " + std::strerror(errno));
  }
  return std::make_unique<Server>(loop, std::move(*socket), handler);
}

Server::Server(ev::loop_ref loop, StreamSocket listener, Handler& handler)
    : loop(loop),
      listener(std::move(listener)),
      handler(handler),
      accept(loop) {
  this->accept.set<Server, &Server::OnAccept>(this);
  this->accept.start(this->listener.Descriptor(), ev::READ);
}

std::size_t Server::Sending(std::size_t bytes) const {
  return static_cast<std::size_t>(
      std::count_if(this->connections.begin(), this->connections.end(),
                    [bytes](const auto& entry) {
                      return entry.second->unsent.size() > bytes;
                    }));
}

void Server::OnAccept(ev::io& /*watcher*/, int /*events*/) {
  while (auto socket = this->listener.Accept()) {
    if (this->connections.size() >= kMaxConnections) {
      continue;
    }
    const ConnectionId id{++this->last_id};
    this->connections.emplace(
        id, std::make_unique<Connection>(*this, id, std::move(*socket)));
  }
}

Server::Connection::Connection(Server& server, ConnectionId id,
                               StreamSocket socket)
    : server(server),
      id(id),
      socket(std::move(socket)),
      ready(server.loop),
      idle(server.loop) {
  http_parser_init(&this->parser, HTTP_REQUEST);
  this->parser.data = this;
  this->ready.set<Connection, &Connection::OnReady>(this);
  this->ready.start(this->socket.Descriptor(), ev::READ);
  this->idle.set<Connection, &Connection::OnIdle>(this);
  this->idle.start(kIdleSeconds, kIdleSeconds);
}

void Server::Connection::OnIdle(ev::timer& /*watcher*/, int /*events*/) {
  this->server.Remove(this->id);
}

void Server::Connection::OnReady(ev::io& /*watcher*/, int events) {
  this->idle.again();
  const bool readable = (events & ev::READ) != 0;
  if ((readable && !this->Read()) || !this->Write()) {
    this->server.Remove(this->id);
  }
}

bool Server::Connection::Read() {
  std::array<char, kReadBytes> bytes;
  const ssize_t size =
      recv(this->socket.Descriptor(), bytes.data(), bytes.size(), 0);
  if (size < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  if (size == 0) {
    return false;
  }
  const auto count = static_cast<std::size_t>(size);
  return http_parser_execute(&this->parser, &ServerCallbacks::Settings(),
                             bytes.data(), count) == count;
}

void Server::Connection::Answer() {
  const bool is_get = this->parser.method == HTTP_GET;
  const Response response = is_get ? this->server.handler.Answer(this->path)
                                   : Response{405, "text/plain", "GET only\n"};
  this->path.clear();
  this->close_after = http_should_keep_alive(&this->parser) == 0;
  const auto status = static_cast<http_status>(response.status);
  this->unsent +=
      "HTTP/1.1 " + std::to_string(response.status) + " " +
      http_status_str(status) + "\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\n\r\n" + response.body;
}

bool Server::Connection::Write() {
  while (!this->unsent.empty()) {
    const ssize_t sent = send(this->socket.Descriptor(), this->unsent.data(),
                              this->unsent.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    if (sent < 0) {
      this->ready.set(ev::READ | ev::WRITE);
      return true;
    }
    this->unsent.erase(0, static_cast<std::size_t>(sent));
  }
  this->ready.set(ev::READ);
  return !this->close_after;
}

}  // namespace sassafrasdyke::http

/// A small HTTP/1.1 server for GET requests on a libev loop: readiness, metrics
/// and what instances ask each other.
#pragma once

#include <ev++.h>
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "common/address.h"
#include "common/ids.h"
#include "http/stream_socket.h"

namespace sassafrasdyke::http {

/// An answer.
struct Response {
  unsigned status{200};
  std::string content_type{"application/json"};
  std::string body;
};

/// Answers requests; called from the loop.
class Handler {
 public:
  virtual ~Handler() = default;
  /// `path` is as the client wrote it, with the query.
  virtual Response Answer(const std::string& path) = 0;
};

/// Names a connection for as long as it is open.
using ConnectionId = common::Id<struct ConnectionTag, std::uint64_t>;

/// Listens at one address.
class Server {
 public:
  /// `handler` and the loop must outlive the server. The error is a sentence
  /// for a person.
  static tl::expected<std::unique_ptr<Server>, std::string> Open(
      ev::loop_ref loop, const common::Endpoint& listen, Handler& handler);

  Server(ev::loop_ref loop, StreamSocket listener, Handler& handler);
  /// Connections with more than `bytes` still to be sent.
  std::size_t Sending(std::size_t bytes) const;

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  friend struct ServerCallbacks;

  /// One client.
  struct Connection {
    Connection(Server& server, ConnectionId id, StreamSocket socket);

    void OnReady(ev::io& watcher, int events);
    void OnIdle(ev::timer& watcher, int events);
    /// Both return false when the connection is to be closed.
    bool Read();
    bool Write();
    void Answer();

    Server& server;
    const ConnectionId id;
    StreamSocket socket;
    ev::io ready;
    ev::timer idle;
    http_parser parser{};
    std::string path;
    std::string unsent;
    bool close_after{false};
  };

  void OnAccept(ev::io& watcher, int events);
  void Remove(ConnectionId id) { this->connections.erase(id); }

  ev::loop_ref loop;
  StreamSocket listener;
  Handler& handler;
  ev::io accept;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections;
  std::uint64_t last_id{0};
};

}  // namespace sassafrasdyke::http

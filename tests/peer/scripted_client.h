/// A client that says whatever a test wants to an instance's port.
#pragma once

#include <ev++.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "common/address.h"
#include "peer/http2_connection.h"
#include "peer/peer_counts.h"
#include "peer/socket.h"
#include "peer/tcp_transport.h"

namespace sassafrasdyke::peer {

/// Opens a stream and sends `body` on it.
class ScriptedClient final : public Http2Handler {
 public:
  ScriptedClient(ev::loop_ref loop, const std::string& from,
                 const common::Endpoint& to, std::string body)
      : body(std::move(body)) {
    auto socket =
        Socket::Connect(common::IpAddress::Parse(from).value(), to).value();
    this->connection = std::make_unique<Http2Connection>(
        loop, std::make_unique<TcpTransport>(std::move(socket)),
        Http2Role::kConnects, *this, this->counts);
  }

  /// Sends more on the same stream.
  void Say(const std::string& more) {
    this->body += more;
    this->connection->WakeBody();
  }

  /// Asks for a sign of life.
  void Ping() { this->connection->Ping(); }
  /// What the window has kept back.
  std::size_t Left() const { return this->body.size(); }

  void OnAnswer(std::optional<ProtocolVersion> version) override {
    this->answer = version.has_value();
  }
  void OnBody(std::string_view /*bytes*/) override {}
  std::size_t NextBody(std::span<char> into) override {
    const std::size_t size = std::min(into.size(), this->body.size());
    std::copy_n(this->body.data(), size, into.data());
    this->body.erase(0, size);
    return size;
  }
  void OnAlive() override { ++this->frames; }
  void OnEnded(CutReason reason) override { this->ended = reason; }

  std::size_t frames{0};  ///< Whole ones that came.
  std::optional<bool> answer;
  std::optional<CutReason> ended;

 private:
  std::string body;
  PeerCounts counts;
  std::unique_ptr<Http2Connection> connection;
};

}  // namespace sassafrasdyke::peer

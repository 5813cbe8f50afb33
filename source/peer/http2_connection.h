/// An HTTP/2 connection with one long stream, by nghttp2 on libev. The
/// connecting end sends a request whose body never ends; the accepting end
/// answers with a status and sends no body.
#pragma once

#include <ev++.h>
#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "peer/hello.h"
#include "peer/peer_counts.h"
#include "peer/transport.h"

namespace sassafrasdyke::peer {

/// Takes what happens on a connection. Only `OnEnded` may destroy it.
class Http2Handler {
 public:
  virtual ~Http2Handler() = default;

  /// The accepting end let this one in and chose a version, or refused it.
  virtual void OnAnswer(std::optional<ProtocolVersion> version) = 0;
  /// A part of the connecting end's body.
  virtual void OnBody(std::string_view bytes) = 0;
  /// Fills `into` with the next part of the body; returns its size, 0 when
  /// there is nothing to send now.
  virtual std::size_t NextBody(std::span<char> into) = 0;
  /// Anything whole came from the other end.
  virtual void OnAlive() = 0;
  /// The connection has ended; called at most once, after everything else.
  virtual void OnEnded(CutReason reason) = 0;
};

/// Which end of the connection this is.
enum class Http2Role { kConnects, kAccepts };

/// One connection.
class Http2Connection {
 public:
  /// All references must outlive the connection.
  Http2Connection(ev::loop_ref loop, std::unique_ptr<Transport> transport,
                  Http2Role role, Http2Handler& handler, PeerCounts& counts);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /// Answers the request with the version to use, or refuses it; the other end
  /// closes then.
  void Answer(std::optional<ProtocolVersion> version);
  /// There is something for `NextBody` to send.
  void WakeBody();
  /// Asks the other end for a sign of life.
  void Ping();
  /// Lets the other end send `bytes` more of its body. What `OnBody` gave and
  /// is not handed back here fills the stream's window (64 KiB), and then the
  /// other end has to wait; signs of life still pass.
  void Consume(std::size_t bytes);
  /// Ends the connection; `OnEnded` follows from the loop.
  void End(CutReason reason);
  /// Ends the connection at once; no function of the handler is called again.
  void Stop();

 private:
  friend struct Http2Callbacks;

  struct SessionDeleter {
    void operator()(nghttp2_session* session) const {
      nghttp2_session_del(session);
    }
  };

  void SubmitSettings(Http2Role role);
  void SubmitRequest();
  void OnReady(ev::io& watcher, int events);
  void ReadInput();
  void WriteOutput();
  bool FillOutput();
  void EndBy(IoState state);
  void WatchSocket();

  std::unique_ptr<Transport> transport;
  Http2Handler& handler;
  PeerCounts& counts;
  ev::io watcher;
  std::unique_ptr<nghttp2_session, SessionDeleter> session;
  std::int32_t stream{0};  ///< 0 until it is there.
  std::string output;      ///< Encoded, not yet written.
  bool read_wants_write{false};
  bool write_wants_read{false};
  bool stopped{false};
  std::optional<CutReason> ended;
};

}  // namespace sassafrasdyke::peer

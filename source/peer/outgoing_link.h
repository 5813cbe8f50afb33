/// The stream on which one peer is sent messages.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/configuration.h"
#include "core/fleet/backoff.h"
#include "core/fleet/jitter.h"
#include "peer/hello.h"
#include "peer/http2_connection.h"
#include "peer/peer_context.h"
#include "peer/send_queue.h"

namespace sassafrasdyke::peer {

/// Connects when there is something to send, and again after failures. Each
/// instance opens its own stream to a peer, so the two never have to agree on
/// which of two connections, opened at the same moment, shall stay.
class OutgoingLink final : public Http2Handler, public QueueDropListener {
 public:
  /// `context` must outlive the link; `seed` varies jitter only.
  OutgoingLink(PeerContext& context, const core::Instance& peer,
               std::uint64_t seed);

  const core::Instance& Peer() const { return this->peer; }
  /// What the peer chose; nothing while the stream isn't up.
  std::optional<ProtocolVersion> Version() const { return this->version; }
  void Send(QueuedMessage message);
  /// Ends everything at once; the listener isn't told.
  void Stop();

  void OnAnswer(std::optional<ProtocolVersion> answer) override;
  void OnBody(std::string_view bytes) override;
  std::size_t NextBody(std::span<char> into) override;
  void OnAlive() override { this->alive = true; }
  void OnEnded(CutReason reason) override;
  void OnQueueDrop(std::size_t kind, QueueDrop reason) override;

 private:
  enum class State {
    kIdle,        ///< Nothing to send.
    kConnecting,  ///< No answer yet.
    kUp,
    kWaiting,  ///< For the next try.
    kStopped,
  };

  void Connect();
  void End(CutReason reason);
  void OnTimer(ev::timer& timer, int events);
  void OnPingTime();
  bool FillFrame();
  /// The oldest message of a kind that the peer's version has.
  std::optional<QueuedMessage> NextSpoken();
  std::string HelloFrame() const;

  PeerContext& context;
  const core::Instance peer;
  core::Jitter jitter;
  core::Backoff backoff;
  SendQueue queue;
  ev::timer timer;
  State state{State::kIdle};
  std::optional<ProtocolVersion> version;
  std::unique_ptr<Http2Connection> connection;
  std::string frame;    ///< The frame that is being sent.
  std::size_t sent{0};  ///< How much of it has been handed over.
  bool alive{false};    ///< Something came since the last ping.
  std::chrono::milliseconds last_message{0};
};

}  // namespace sassafrasdyke::peer

/// The stream on which one peer sends this instance messages.
#pragma once

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "common/address.h"
#include "common/ids.h"
#include "peer/frame_splitter.h"
#include "peer/hello.h"
#include "peer/http2_connection.h"
#include "peer/peer_context.h"
#include "peer/receive_limiter.h"
#include "peer/socket.h"

namespace sassafrasdyke::peer {

/// Names an accepted connection for as long as it lasts.
using IncomingLinkId = common::Id<struct IncomingLinkTag, std::uint64_t>;

/// Keeps the incoming links. No function may destroy the link at once.
class IncomingLinkOwner {
 public:
  virtual ~IncomingLinkOwner() = default;

  /// The link's peer was let in; another link from the same peer is obsolete.
  virtual void OnAdmitted(IncomingLinkId link) = 0;
  /// The link is of no more use.
  virtual void OnIncomingEnded(IncomingLinkId link) = 0;
};

/// One accepted connection.
class IncomingLink final : public Http2Handler {
 public:
  /// `context` and `owner` must outlive the link.
  IncomingLink(PeerContext& context, IncomingLinkOwner& owner,
               IncomingLinkId id, AcceptedSocket accepted);

  /// The peer that was let in; 0 before that.
  common::InstanceId Peer() const { return this->hello.from; }
  /// The life of the peer that was let in.
  common::Incarnation PeerIncarnation() const {
    return this->hello.incarnation;
  }
  /// Chosen when the peer was let in.
  std::optional<ProtocolVersion> Version() const { return this->version; }
  const common::IpAddress& Source() const { return this->source; }
  /// Ends the link at once and counts why; the owner isn't told.
  void Stop(CutReason reason);

  void OnAnswer(std::optional<ProtocolVersion> version) override;
  void OnBody(std::string_view bytes) override;
  std::size_t NextBody(std::span<char> into) override;
  void OnAlive() override;
  void OnEnded(CutReason reason) override;

 private:
  enum class State {
    kWaiting,
    kAdmitted,
    kRefused,
    kBroken,  ///< Said something malformed; the connection is ending.
    kStopped,
  };

  bool Reading() const;
  void TakeFrames();
  bool MayTake(const std::string& frame);
  void OnReceiveAgain(ev::timer& timer, int events);
  void OnFrame(const std::string& frame);
  void OnHello(const std::string& frame);
  void OnMessage(const std::string& frame);
  void Refuse(CutReason reason);
  void Break(CutReason reason);
  void OnDeadline(ev::timer& timer, int events);
  void Count(CutReason reason);

  PeerContext& context;
  IncomingLinkOwner& owner;
  const IncomingLinkId id;
  const common::IpAddress source;
  FrameSplitter splitter;
  ReceiveLimiter limiter;
  std::optional<std::string> next;  ///< A frame that waits for the budget.
  std::size_t unconsumed{0};        ///< Body bytes not handed back yet.
  Hello hello;                      ///< All 0 until the peer is let in.
  std::optional<ProtocolVersion> version;
  State state{State::kWaiting};
  ev::timer deadline;
  ev::timer receive_again;  ///< Runs while a frame waits.
  std::unique_ptr<Http2Connection> connection;
};

}  // namespace sassafrasdyke::peer

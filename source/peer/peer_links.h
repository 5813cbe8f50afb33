/// The streams between this instance and its peers.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "config/settings.h"
#include "core/configuration.h"
#include "core/messages.h"
#include "peer/incoming_link.h"
#include "peer/outgoing_link.h"
#include "peer/peer_context.h"
#include "peer/socket.h"

namespace sassafrasdyke::peer {

/// Why the streams could not be opened.
struct PeerOpenFault {
  std::string what;  ///< For a person, one sentence.
};

/// Listens for peers and connects to those that messages are for. Owned by one
/// task and used from its loop only.
class PeerLinks final : public IncomingLinkOwner {
 public:
  /// Starts to listen. `loop`, `listener` and `clock` must outlive the links;
  /// `seed` varies jitter only. Fails if the address can't be listened at or a
  /// file of the certificates can't be used.
  static tl::expected<std::unique_ptr<PeerLinks>, PeerOpenFault> Open(
      ev::loop_ref loop, const PeerIdentity& self,
      const config::ControlSettings& settings, const PeerLimits& limits,
      std::uint64_t seed, PeerListener& listener,
      const PeerClock& clock = SteadyPeerClock::Shared());
  ~PeerLinks() override;
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Takes the list in force and the fleet's name; empty until it is known,
  /// and no stream opens before that. Ends the streams of instances that are
  /// gone, have another address, or were replaced.
  void SetInstances(const core::InstanceList& list, const std::string& fleet);

  /// Queues a message; connects if need be. What can't be sent is counted.
  void Send(common::InstanceId to, const core::PeerMessage& message);

  /// The version in use on the stream to or from a peer; nothing while there is
  /// no such stream.
  std::optional<ProtocolVersion> VersionTo(common::InstanceId peer) const;
  std::optional<ProtocolVersion> VersionFrom(common::InstanceId peer) const;
  const PeerCounts& Counts() const { return this->context.counts; }
  /// Where this instance listens.
  common::Endpoint Listening() const { return LocalEndpoint(this->socket); }

  void OnAdmitted(IncomingLinkId link) override;
  void OnIncomingEnded(IncomingLinkId link) override;

 private:
  PeerLinks(PeerContext context, Socket socket);

  void OnAcceptable(ev::io& watcher, int events);
  void PauseAccepting();
  void OnAcceptAgain(ev::timer& timer, int events);
  bool MayEnter(const common::IpAddress& source);
  std::size_t Waiting() const;
  bool StillListed(const core::Instance& peer) const;
  bool StillListed(const IncomingLink& link) const;
  void RetireUnlisted();
  void Retire(std::unique_ptr<OutgoingLink> link);
  void Retire(std::unique_ptr<IncomingLink> link);
  void OnSweep(ev::timer& timer, int events);

  PeerContext context;
  Socket socket;
  ev::io acceptor;
  ev::timer accept_again;
  std::unordered_map<common::InstanceId, std::unique_ptr<OutgoingLink>>
      outgoing;
  std::unordered_map<IncomingLinkId, std::unique_ptr<IncomingLink>> incoming;
  std::uint64_t last_link{0};
  /// Stopped links. One of them may be what called the function that stopped
  /// it, so they are destroyed when the loop has come round.
  std::vector<std::unique_ptr<OutgoingLink>> retired_outgoing;
  std::vector<std::unique_ptr<IncomingLink>> retired_incoming;
  ev::timer sweep;
};

}  // namespace sassafrasdyke::peer

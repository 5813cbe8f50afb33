/// What all streams of one instance share.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "common/address.h"
#include "common/ids.h"
#include "core/messages.h"
#include "peer/hello.h"
#include "peer/instance_directory.h"
#include "peer/peer_clock.h"
#include "peer/peer_counts.h"
#include "peer/receive_limiter.h"
#include "peer/send_queue.h"
#include "peer/tls_context.h"
#include "peer/tls_transport.h"
#include "peer/transport.h"

namespace sassafrasdyke::peer {

/// Times and sizes of the streams.
struct PeerLimits {
  /// From the start of a connection to the peer's answer.
  std::chrono::milliseconds connect_deadline{3000};
  /// From an accepted connection to its hello.
  std::chrono::milliseconds hello_deadline{3000};
  /// Time between signs of life that are asked for; without one until the
  /// next, the connection is half-open.
  std::chrono::milliseconds ping_interval{5000};
  /// Silence after which an accepted connection is half-open.
  std::chrono::milliseconds silent_after{16'000};
  /// Time without a message after which a connection is closed.
  std::chrono::milliseconds unused_after{60'000};
  /// Bounds of the wait before a connection is tried again.
  std::chrono::milliseconds first_retry{100};
  std::chrono::milliseconds longest_retry{5000};
  /// Connections that may wait for their hello at once.
  std::size_t waiting{64};
  SendQueueLimits queue;
  /// What is taken from one peer.
  ReceiveLimits receive;
  /// Time until a message that was over the budget is tried again.
  std::chrono::milliseconds receive_again{20};
};

/// What this instance says of itself.
struct PeerIdentity {
  common::InstanceId id;
  common::Incarnation incarnation;
  VersionRange versions{kSpokenVersions};
};

/// Takes what comes from peers.
class PeerListener {
 public:
  virtual ~PeerListener() = default;

  virtual void OnPeerMessage(common::InstanceId from,
                             const core::PeerMessage& message) = 0;
  /// The stream to a peer was accepted, or has ended because it was lost or
  /// not used for a while. Streams that end because the list changed are not
  /// told.
  virtual void OnPeerLink(common::InstanceId to, bool up) = 0;
  /// A connection was cut off or not let in. `peer` is 0 when it isn't known.
  /// Must not call the links back.
  virtual void OnPeerCut(common::InstanceId peer, const common::IpAddress& from,
                         CutReason reason) = 0;
};

/// Shared by all links; outlives them.
struct PeerContext {
  ev::loop_ref loop;
  PeerIdentity self;
  common::IpAddress address;  ///< Where this instance speaks from.
  PeerLimits limits;
  PeerListener& listener;
  InstanceDirectory directory;
  std::unique_ptr<TlsContext> tls;  ///< Null for plain TCP.
  std::uint64_t seed{0};
  const PeerClock& clock;
  PeerCounts counts{};
  std::chrono::milliseconds Now() const { return this->clock.Now(); }
  /// A transport over `socket` to the instance at `peer`, encrypted if the
  /// settings say so.
  std::unique_ptr<Transport> MakeTransport(Socket socket, TlsRole role,
                                           const common::IpAddress& peer);
};

/// A time as the loop's timers take it.
ev::tstamp Seconds(std::chrono::milliseconds time);

}  // namespace sassafrasdyke::peer

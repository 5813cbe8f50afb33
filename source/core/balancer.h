/// The flow side of the core: decides for every packet, and keeps what must
/// be remembered of flows. No input or output, no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/decision.h"
#include "core/fleet_view.h"
#include "core/messages.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// What one call left to be done besides its answer. The caller empties it.
struct Outbox {
  std::vector<OutgoingMessage> messages;
  std::vector<Decision> decisions;
};

/// Numbers a person or a metric asks for.
struct BalancerStatus {
  std::size_t flows{0};
  std::size_t exceptions{0};      ///< Flows not at their fallback.
  std::size_t copies_held{0};     ///< Held as a standby.
  std::size_t copies_waiting{0};  ///< Not yet acknowledged by the standby.
  std::size_t owned_partitions{0};
  bool handed_over{false};  ///< Leaving, and nothing is left to hand over.
};

/// The interface the data path drives. All times are monotonic, since process
/// start, and never fall.
class Balancer {
 public:
  virtual ~Balancer() = default;

  /// Decides about one packet. Never fails: what can't be served is a
  /// `DropPacket` or a `ResetCaller` with its reason.
  virtual PacketAction OnPacket(const PacketArrived& packet,
                                std::chrono::milliseconds now,
                                Outbox& outbox) = 0;

  /// Takes a newer accepted configuration; an older revision is ignored.
  virtual void OnConfiguration(
      std::shared_ptr<const Configuration> configuration,
      std::chrono::milliseconds now, Outbox& outbox) = 0;

  /// Takes what the fleet side now believes.
  virtual void OnFleetView(const FleetView& view, std::chrono::milliseconds now,
                           Outbox& outbox) = 0;

  /// Takes a copy, an acknowledgement or a health change from a peer; other
  /// messages are not for it and are ignored.
  virtual void OnPeerMessage(common::InstanceId from,
                             const PeerMessage& message,
                             std::chrono::milliseconds now, Outbox& outbox) = 0;

  /// Does periodic work: expiry, copies, ramps. Called about 10 times a
  /// second; the work of one call is bounded.
  virtual void OnTick(std::chrono::milliseconds now, Outbox& outbox) = 0;

  virtual BalancerStatus Status() const = 0;
};

/// Makes the balancer of this product.
std::unique_ptr<Balancer> MakeBalancer(common::InstanceId self,
                                       common::Incarnation incarnation);

}  // namespace sassafrasdyke::core

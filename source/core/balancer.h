/// The flow side of the core: decides about every packet and keeps the flow
/// records. It does no I/O and reads no clock.
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

/// Messages to send and decisions to log that a call produced besides its
/// result. The caller sends and logs them and clears the outbox.
struct Outbox {
  std::vector<OutgoingMessage> messages;
  std::vector<Decision> decisions;
};

/// The balancer's figures for the status page and the metrics.
struct BalancerStatus {
  std::size_t flows{0};
  std::size_t exceptions{0};      ///< Flows not at their fallback.
  std::size_t copies_held{0};     ///< Held as a standby.
  std::size_t copies_waiting{0};  ///< Not yet acknowledged by the standby.
  std::size_t owned_partitions{0};
  bool handed_over{false};  ///< Leaving, and nothing is left to hand over.
};

/// The interface that the data path calls. All times are monotonic and count
/// from process start.
class Balancer {
 public:
  virtual ~Balancer() = default;

  /// Decides about one packet. Never fails: a packet that can't be served gets
  /// a `DropPacket` or a `ResetCaller` with the reason.
  virtual PacketAction OnPacket(const PacketArrived& packet,
                                std::chrono::milliseconds now,
                                Outbox& outbox) = 0;

  /// Applies a newer accepted configuration; an older revision is ignored.
  virtual void OnConfiguration(
      std::shared_ptr<const Configuration> configuration,
      std::chrono::milliseconds now, Outbox& outbox) = 0;

  /// Applies the fleet side's latest view.
  virtual void OnFleetView(const FleetView& view, std::chrono::milliseconds now,
                           Outbox& outbox) = 0;

  /// Handles an exception copy, an acknowledgement or a health change from a
  /// peer; messages of other kinds are ignored.
  virtual void OnPeerMessage(common::InstanceId from,
                             const PeerMessage& message,
                             std::chrono::milliseconds now, Outbox& outbox) = 0;

  /// Does periodic work: expiry, copies, slow start. Called about 10 times a
  /// second; the work of one call is bounded.
  virtual void OnTick(std::chrono::milliseconds now, Outbox& outbox) = 0;

  virtual BalancerStatus Status() const = 0;
};

/// Creates the production balancer.
std::unique_ptr<Balancer> MakeBalancer(common::InstanceId self,
                                       common::Incarnation incarnation);

}  // namespace sassafrasdyke::core

/// Admission control for new flows: admits them at once while targets have
/// capacity, and otherwise queues their SYNs and releases them in the order
/// that serves most callers in time.
///
/// It protects targets after a restart of the fleet or a network partition: the
/// callers of a second or more reconnect within a tenth of a second, while new
/// ones keep arriving. Forwarded at once, most of both would be served late or
/// shed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/steering/flow_steering.h"
#include "core/steering/syn_queue.h"

namespace sassafrasdyke::core {

/// A SYN from the queue that may be forwarded, and where its flow may be
/// placed.
struct ReleasedSyn {
  QueuedSyn syn;
  AdmissionGrant grant;
};

/// Times are monotonic, since process start.
class AdmissionControl {
 public:
  /// Both must outlive this.
  AdmissionControl(const RouteTable& routes, const FlowSteering& steering)
      : routes(routes), steering(steering) {}

  /// Returns where the flow that the packet opens may be placed, or nothing
  /// when it has to wait; then a copy of the packet is queued. `arrived_at`:
  /// when it arrived, which is earlier than `now` when the instance had no view
  /// yet.
  std::optional<AdmissionGrant> Admit(const FlowPacket& packet,
                                      std::span<const std::uint8_t> bytes,
                                      std::chrono::milliseconds arrived_at,
                                      std::chrono::milliseconds now);
  /// Removes and returns a SYN that may be forwarded now, that of the route
  /// with the lowest rank first.
  std::optional<ReleasedSyn> TakeNext(std::chrono::milliseconds now);
  void OnTick(std::chrono::milliseconds now);
  /// The process was paused: clients have retransmitted the queued SYNs.
  void OnPause() { this->queue.Clear(); }

  std::size_t Waiting() const { return this->queue.Size(); }

 private:
  /// Longest time that a client of the route may have waited and still be
  /// served in time.
  std::chrono::milliseconds LongestTimelyWait(const Route& route) const;

  const RouteTable& routes;
  const FlowSteering& steering;
  SynQueue queue;
};

}  // namespace sassafrasdyke::core

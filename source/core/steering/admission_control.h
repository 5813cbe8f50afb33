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
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/steering/departure_rate.h"
#include "core/steering/flow_steering.h"
#include "core/steering/held_copies.h"
#include "core/steering/overload_policy.h"
#include "core/steering/shared_observations.h"
#include "core/steering/syn_order.h"
#include "core/steering/syn_queue.h"

namespace sassafrasdyke::core {

/// A SYN from the queue that may be forwarded, and where its flow may be
/// placed.
struct ReleasedSyn {
  QueuedSyn syn;
  AdmissionGrant grant;
};

/// Refuses SYNs that can't be served before their clients give up.
const OverloadPolicy& DefaultOverloadPolicy();

/// Times are monotonic, since process start.
class AdmissionControl {
 public:
  /// All must outlive this. `overload` decides only with fair admission.
  AdmissionControl(const RouteTable& routes, const FlowSteering& steering,
                   const SharedObservations& shared = NoSharedObservations(),
                   const OverloadPolicy& overload = DefaultOverloadPolicy());

  /// Returns where the flow that the packet opens may be placed, or nothing
  /// when it has to wait; then a copy of the packet is queued. `arrived_at`:
  /// when it arrived, which is earlier than `now` when the instance had no view
  /// yet.
  std::optional<AdmissionGrant> Admit(const FlowPacket& packet,
                                      std::span<const std::uint8_t> bytes,
                                      std::chrono::milliseconds arrived_at,
                                      std::chrono::milliseconds now);
  /// Removes and returns a SYN that may be forwarded now, that of the route
  /// with the lowest rank first; with fair admission, others have their turns.
  std::optional<ReleasedSyn> TakeNext(std::chrono::milliseconds now);
  /// Returns the SYNs that were refused since the last call, for
  /// RefusalReason::kOverloaded. Nothing of their flows was forwarded.
  std::vector<QueuedSyn> TakeRefused() {
    return std::exchange(this->refused, {});
  }
  void OnTick(std::chrono::milliseconds now);
  /// The process was paused: clients have retransmitted the queued SYNs.
  void OnPause();

  std::size_t Waiting() const { return this->queue.Size(); }
  bool Waits(const common::FlowKey& flow) const {
    return this->queue.Contains(flow);
  }
  /// Numbers by rank, of each rank of which a SYN has ever waited.
  std::map<std::uint32_t, std::size_t> WaitingByRank() const;
  const std::map<std::uint32_t, std::uint64_t>& RefusedByRank() const {
    return this->refused_by_rank;
  }

 private:
  /// Decides which SYN of a service leaves next, and counts those that leave.
  struct ServiceLine {
    std::unique_ptr<SynOrder> order;
    DepartureRate departures;
  };

  /// Longest time that a client of the route may have waited and still be
  /// served in time.
  std::chrono::milliseconds LongestTimelyWait(const Route& route) const;
  /// Rank of the route at this address; 0 when there is none.
  std::uint32_t RankOf(const common::Endpoint& address) const;
  /// The routes for which SYNs wait, by service. Without fair admission, all
  /// are of one service without a name.
  using WaitingRoutes = std::map<std::string, std::vector<WaitingRoute>>;
  WaitingRoutes RoutesByService() const;
  /// The service of the route, as in RoutesByService.
  std::string ServiceOf(const Route* route) const;
  ServiceLine& LineOf(const std::string& service);
  /// SYNs that would leave before one more of the service and rank.
  std::size_t AheadOfNew(const std::string& service, std::uint32_t rank) const;
  bool AnyWaits(std::span<const WaitingRoute> routes) const;
  /// The service for which most SYNs wait.
  std::string LargestService(const WaitingRoutes& waiting) const;
  /// Whether the SYN waits now; otherwise it is admitted at once.
  bool Hold(const FlowPacket& packet, std::span<const std::uint8_t> bytes,
            std::chrono::milliseconds arrived_at,
            std::chrono::milliseconds now);
  /// Removes the SYN that would be served last of the service for which most
  /// wait. `service` and `rank` are those of the arriving SYN; returns false if
  /// it is the one.
  bool MakeRoom(const std::string& service, std::uint32_t rank,
                std::chrono::milliseconds now);
  void RefuseHopelessSyns(const ServiceLine& line,
                          const std::vector<WaitingRoute>& routes,
                          std::chrono::milliseconds now);
  void OnRefused(QueuedSyn syn, std::uint32_t rank);

  const RouteTable& routes;
  const FlowSteering& steering;
  const bool fair;
  const OverloadPolicy& overload;
  SynQueue queue;
  HeldCopies copies;
  std::map<std::string, ServiceLine> lines;  ///< By service.
  /// Those that a full queue loses next, the last in line at the back, and
  /// their service. Computed for several at once, since a SYN flood fills the
  /// queue again at once.
  std::vector<SynPlace> last_in_line;
  std::string last_in_line_of;
  std::vector<QueuedSyn> refused;
  std::map<std::uint32_t, std::uint64_t> refused_by_rank;
};

}  // namespace sassafrasdyke::core

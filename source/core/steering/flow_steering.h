/// Decides what happens to each client packet. Packets of an established flow
/// carry the word that identifies their target, so any instance can forward
/// them without per-flow state, and no flow is lost when an instance dies or
/// restarts.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/steering/answer_times.h"
#include "core/steering/concurrency_limiter.h"
#include "core/steering/end_evidence.h"
#include "core/steering/flow_memory.h"
#include "core/steering/flow_packet.h"
#include "core/steering/half_open_table.h"
#include "core/steering/pending_requests.h"
#include "core/steering/shared_observations.h"
#include "core/steering/target_choice.h"
#include "core/steering/target_watch.h"
#include "core/steering/unknown_flows.h"
#include "core/steering/warmup_budget.h"
#include "core/view/region_map.h"
#include "core/view/route_table.h"
#include "core/view/store_contact.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// The parts of the live view that decisions read. They must outlive the
/// FlowSteering.
struct SteeringView {
  const RouteTable& routes;
  const TargetTable& targets;
  const StoreContact& contact;
  const RegionMap& regions;
};

/// Steers client packets to targets. Times are monotonic, since process start.
class FlowSteering {
 public:
  /// `seed` must differ between instances.
  FlowSteering(const std::string& domain, SteeringView view,
               WarmupTolerance tolerance = {}, std::uint64_t seed = 0,
               const SharedObservations& shared = NoSharedObservations())
      : view(view),
        domain(domain),
        observers(shared.observers),
        warmup(view.routes, view.targets, tolerance, seed),
        choice(domain, view.targets, view.regions, this->watch, this->pending,
               this->answer_times, this->warmup, shared),
        limiter(domain, view.targets, view.regions, this->watch, this->pending,
                this->warmup, shared),
        memory(view.routes.FlowLife()) {}

  /// Decides what to do with `packet`. `grant` says where a flow that the
  /// packet opens may be placed.
  SteeringAction OnPacket(const FlowPacket& packet,
                          std::chrono::milliseconds now,
                          const AdmissionGrant& grant = {});
  /// The process was paused until `now`: resets what depends on packets that it
  /// could not read meanwhile.
  void OnPause(std::chrono::milliseconds now) {
    this->half_open_flows.OnPause(now);
    this->watch.OnPause(now);
    this->pending.OnPause();
    for (RequestObserver* const observer : this->observers) {
      observer->OnPause(now);
    }
  }
  /// The number of instances that are known now, this one included.
  void OnFleetSize(std::size_t instances, std::chrono::milliseconds now) {
    this->warmup.OnFleetSize(instances, now);
  }
  /// Drops the state of a target that will never be published again.
  void Forget(TargetIndex target) {
    this->watch.Forget(target);
    this->choice.Forget(target);
    this->warmup.Forget(target);
  }
  /// Expires old state. The work per call is bounded.
  void OnTick(std::chrono::milliseconds now);

  /// Returns the remembered flows that have ended with their target, so that
  /// their clients can be sent resets; each flow once.
  std::vector<FlowPacket> TakeEndedFlows(TargetIndex target,
                                         std::chrono::milliseconds now);
  bool HasFlowsOf(TargetIndex target) const {
    return this->memory.HasFlowsOf(target);
  }
  /// What this instance has seen of an open flow; nothing if the flow isn't
  /// remembered.
  std::optional<FlowSighting> Sighting(const common::FlowKey& flow) const;
  std::size_t RememberedFlows() const { return this->memory.Size(); }
  TargetWatch& Watch() { return this->watch; }
  const TargetWatch& Watch() const { return this->watch; }
  std::size_t HalfOpenFlows() const { return this->half_open_flows.Size(); }
  /// Whether the flow's SYN was recently sent to a target and the handshake has
  /// not been seen to complete.
  bool IsHalfOpen(const common::FlowKey& flow) const {
    return this->half_open_flows.Find(flow) != nullptr;
  }
  const PendingRequests& Pending() const { return this->pending; }
  const ConcurrencyLimiter& Limiter() const { return this->limiter; }

 private:
  SteeringAction OnSyn(const FlowPacket& packet, const AdmissionGrant& grant,
                       std::chrono::milliseconds now);
  SteeringAction OnRepeatedSyn(const FlowPacket& packet,
                               HalfOpenFlow& half_open, const Route& route,
                               std::chrono::milliseconds now);
  SteeringAction OnEstablished(const FlowPacket& packet, const Route* route,
                               std::chrono::milliseconds now);
  /// A packet was sent of which the target left an earlier copy unanswered.
  void OnUnanswered(TargetIndex target, std::chrono::milliseconds now);
  void TrackRequests(const FlowPacket& packet, const Route* route,
                     TargetIndex target, const FlowProgress& progress,
                     std::chrono::milliseconds now);
  SteeringAction OnGoneTarget(const FlowPacket& packet, TargetIndex index,
                              const TargetEntry& target,
                              std::chrono::milliseconds now);
  SteeringAction OnUnknownTarget(const FlowPacket& packet,
                                 std::chrono::milliseconds now);
  /// The flow was placed at the target, possibly in place of another.
  void OnPlaced(const common::FlowKey& flow, TargetIndex target,
                std::chrono::milliseconds now);
  SteeringAction OnNoTarget(const Route& route,
                            std::chrono::milliseconds now) const;
  /// Whether an outage of the store can't have hidden a target that the route
  /// may use: each domain that the settings name is evacuated, or in a region
  /// that the route doesn't allow.
  bool EveryDomainExcluded(const Route& route) const;
  SteeringAction OnUnknownRoute(std::chrono::milliseconds now) const;
  /// What may show that a flow at `target`, or at none that is known, has
  /// ended.
  EndEvidence Evidence(std::optional<TargetIndex> target,
                       std::chrono::milliseconds now) const;
  bool ViewIsFresh(std::chrono::milliseconds now) const;

  SteeringView view;
  const std::string domain;
  const std::vector<RequestObserver*> observers;
  TargetWatch watch;
  PendingRequests pending;
  AnswerTimes answer_times;
  WarmupBudget warmup;
  TargetChoice choice;
  ConcurrencyLimiter limiter;
  HalfOpenTable half_open_flows;
  FlowMemory memory;
  UnknownFlows unknown_flows;
};

}  // namespace sassafrasdyke::core

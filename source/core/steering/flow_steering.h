/// Decides for every packet of flows that carry the word of their target. It
/// keeps nothing of established flows, so any instance can forward any packet,
/// and an instance that dies or restarts costs no flow.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/steering/answer_times.h"
#include "core/steering/flow_memory.h"
#include "core/steering/flow_packet.h"
#include "core/steering/opening_gate.h"
#include "core/steering/opening_table.h"
#include "core/steering/pending_requests.h"
#include "core/steering/target_choice.h"
#include "core/steering/target_watch.h"
#include "core/view/route_table.h"
#include "core/view/store_contact.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// What the steering knows of the world; outlives it.
struct SteeringView {
  const RouteTable& routes;
  const TargetTable& targets;
  const StoreContact& contact;
};

/// The decisions. Times are monotonic, since process start.
class FlowSteering {
 public:
  FlowSteering(const std::string& domain, SteeringView view)
      : view(view),
        domain(domain),
        choice(domain, view.targets, this->watch, this->pending,
               this->answer_times),
        gate(domain, view.targets, this->watch, this->pending),
        memory(view.routes.FlowLife()) {}

  /// `room`: where a flow that the packet opens may be placed.
  SteeringAction OnPacket(const FlowPacket& packet,
                          std::chrono::milliseconds now,
                          const OpeningRoom& room = {});
  /// The process stood still until now.
  void OnPause(std::chrono::milliseconds now) {
    this->openings.OnPause(now);
    this->watch.OnPause(now);
    this->pending.OnPause();
  }
  /// A target can't come back.
  void Forget(TargetIndex target) {
    this->watch.Forget(target);
    this->choice.Forget(target);
  }
  /// Bounded periodic work.
  void OnTick(std::chrono::milliseconds now);

  /// The target's end is certain: takes the flows whose clients are to be
  /// told.
  std::vector<FlowPacket> TakeFlowsOf(TargetIndex target) {
    return this->memory.Take(target);
  }
  bool HasFlowsOf(TargetIndex target) const {
    return this->memory.HasFlowsOf(target);
  }
  std::size_t RememberedFlows() const { return this->memory.Size(); }
  TargetWatch& Watch() { return this->watch; }
  const TargetWatch& Watch() const { return this->watch; }
  std::size_t Openings() const { return this->openings.Size(); }
  /// Whether the flow's SYN was sent to a target a moment ago.
  bool IsOpening(const common::FlowKey& flow) const {
    return this->openings.Find(flow) != nullptr;
  }
  const PendingRequests& Pending() const { return this->pending; }
  const OpeningGate& Gate() const { return this->gate; }

 private:
  SteeringAction OnSyn(const FlowPacket& packet, const OpeningRoom& room,
                       std::chrono::milliseconds now);
  SteeringAction OnRepeatedSyn(const FlowPacket& packet, Opening& opening,
                               const Route& route,
                               std::chrono::milliseconds now);
  SteeringAction OnCarried(const FlowPacket& packet, const Route& route,
                           std::chrono::milliseconds now);
  void NotePending(const FlowPacket& packet, const Route& route,
                   TargetIndex target, const CarriedNews& news,
                   std::chrono::milliseconds now);
  SteeringAction OnGoneTarget(const FlowPacket& packet, TargetIndex index,
                              const TargetEntry& target,
                              std::chrono::milliseconds now);
  SteeringAction OnUnknownWord(const FlowPacket& packet,
                               std::chrono::milliseconds now);
  SteeringAction OnNoTarget(std::chrono::milliseconds now) const;
  SteeringAction OnUnknownRoute(std::chrono::milliseconds now) const;
  bool ViewIsFresh(std::chrono::milliseconds now) const;

  SteeringView view;
  const std::string domain;
  TargetWatch watch;
  PendingRequests pending;
  AnswerTimes answer_times;
  TargetChoice choice;
  OpeningGate gate;
  OpeningTable openings;
  FlowMemory memory;
  /// Words that name no known target, and since when they have been met.
  std::unordered_map<TargetWord, std::chrono::milliseconds> unknown;
};

}  // namespace sassafrasdyke::core

/// A deterministic play of callers, instances of `front` and targets, without
/// sockets: clients repeat SYNs and try again, targets have slots, a queue and
/// shed, instances start, stop and learn late, domains lie apart. The same
/// scenario gives each policy the same arrivals and the same work.
///
/// It models neither processor time, lost packets nor the spread of views.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "rig/load/event_queue.h"
#include "rig/load/load_demand.h"
#include "rig/load/load_scenario.h"
#include "rig/load/model_fleet.h"
#include "rig/load/model_troubles.h"
#include "rig/load/target_model.h"

namespace sassafrasdyke::rig {

/// What callers got of the requests of one second in one domain.
struct LoadCell {
  int asked{0};
  int in_time{0};
  int late{0};
  int failed{0};
};

/// By second since the start, and then by domain.
struct LoadOutcome {
  std::vector<std::vector<LoadCell>> cells;
  LoadCell heavy;       ///< Of the callers that bring half of the load.
  int turned_away{0};   ///< Tries that a target rejected or reset.
  int refused{0};       ///< Flows that an instance reset.
  int other_domain{0};  ///< New flows at targets of another domain.
  int further{0};       ///< Requests on flows that had one before.
  /// New flows that reached targets of a domain whose evacuation every instance
  /// knew of.
  int at_evacuated{0};
  int most_at_cold{0};  ///< New flows at one cold target within a second.

  LoadCell Sum() const;
  /// Of all callers but the heavy ones.
  LoadCell Others() const;
};

/// The part of the requests that is served, late ones at three tenths.
double WorthOf(const LoadCell& cell);

/// One play.
class LoadModel final : private ModelNetwork {
 public:
  LoadModel(const LoadScenario& scenario, PolicyVariant variant);
  LoadOutcome Play();

 private:
  using Time = EventQueue::Time;
  using RequestId = std::size_t;
  using FlowId = std::size_t;

  struct Request {
    LoadArrival arrival;
    unsigned tries{0};
    FlowId flow{0};         ///< Of the present try.
    bool at_target{false};  ///< Its target has the request.
    bool hung{false};       ///< Its target doesn't answer it.
    bool done{false};
  };
  struct Flow {
    RequestId request{0};  ///< The one that it carries.
    common::Endpoint caller;
    std::uint32_t word{0};      ///< Of the target that opened it; 0 before.
    std::uint32_t answered{0};  ///< Requests.
    bool reset{false};          ///< By an instance.
  };
  struct Caller {
    std::uint16_t last_port{0};
    std::vector<FlowId> idle;
  };

  void StartRequest(LoadArrival arrival);
  void StartTry(RequestId id);
  FlowId OpenFlow(RequestId id);
  /// Whether the request waits for what comes back on this flow.
  bool IsPresent(RequestId id, FlowId flow) const;
  void SendSyn(RequestId id, FlowId flow, std::uint32_t copy);
  void SendData(RequestId id, FlowId flow, unsigned repeats);
  void SendAcknowledgement(FlowId flow);
  void SendEnd(FlowId flow);
  void SendPacket(FlowId flow, const core::FlowPacket& packet);
  core::FlowPacket PacketOf(FlowId flow) const;

  void Send(std::size_t instance_domain, const Forwarded& out) override;
  bool Accepts(std::size_t instance_domain, std::uint32_t word) const override;
  void OnSynAtTarget(RequestId id, FlowId flow, std::size_t target);
  void OnDataAtTarget(RequestId id, FlowId flow, std::size_t target);
  void OnProcessed(RequestId id, FlowId flow, std::size_t target);
  void OnAnswer(RequestId id, FlowId flow);
  void CountOpening(RequestId id, std::size_t target);

  void FailTry(RequestId id, FlowId flow);
  void GiveUp(RequestId id);
  void Finish(RequestId id, bool served);
  bool IsCut(RequestId id, std::size_t target) const;
  LoadCell& CellOf(const Request& request);

  const LoadScenario scenario;
  EventQueue events;
  std::deque<TargetModel> targets;
  ModelFleet fleet;
  ModelTroubles troubles;
  std::vector<Request> requests;
  std::vector<Flow> flows;
  std::unordered_map<std::uint32_t, Caller> callers;
  std::unordered_map<std::uint64_t, FlowId> flows_by_caller;
  LoadOutcome outcome;
};

}  // namespace sassafrasdyke::rig

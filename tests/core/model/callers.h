/// A reference model of callers and targets that knows the state of every flow.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/small_fleet.h"

namespace sassafrasdyke::core::testing {

/// A flow's state as its caller sees it.
enum class ModelFlowState {
  kConnecting,
  kOpen,
  kClosed,
  kMisrouted,  ///< Its payload reached a target that doesn't have the flow.
  kReset,      ///< The balancer reset it.
  kStalled,    ///< No answer until the caller gave up.
  kRefused,    ///< Its SYN was reset: the caller was told that nothing has run.
};

/// One flow with the state of its caller and its target.
struct ModelFlow {
  common::FlowKey key;
  std::uint32_t service{0};
  ModelFlowState state{ModelFlowState::kConnecting};
  /// The target whose SYN-ACK the caller received.
  common::TargetId target;
  /// Distinguishes targets that successively use one target id.
  common::Endpoint tunnel;
  std::uint32_t sequence{1};
  std::chrono::milliseconds opened_at{0};
  std::chrono::milliseconds last_sent_at{0};
  /// Start of the time without an answer; nothing while answered.
  std::optional<std::chrono::milliseconds> stalled_since;
  /// Targets that received any packet of it; more than one when its SYN reached
  /// both sides of a network partition.
  std::vector<common::Endpoint> sent_to;
  /// Targets that accepted payload of it.
  std::set<common::TargetId> payload_targets;
  bool payload_sent{false};
  bool syn_forwarded{false};
  std::string last_path;
};

/// Numbers of flows by state.
struct ModelCounts {
  std::size_t opened{0};
  std::size_t open{0};
  std::size_t misrouted{0};
  std::size_t reset{0};
  std::size_t stalled{0};

  std::size_t Broken() const {
    return this->misrouted + this->reset + this->stalled;
  }
};

/// Drives flows through a fleet and checks the outcome of every packet.
class Callers {
 public:
  explicit Callers(SmallFleet& fleet) : fleet(fleet) {}

  /// Opens a flow to a service: sends a SYN and, when it is answered, payload.
  void Open(std::uint32_t service);
  /// Sends only a SYN; the flow sends payload at a later `SendNext`.
  void SendSynOnly(std::uint32_t service);
  /// One live flow, selected by `pick`, sends payload, or its SYN again while
  /// it is connecting.
  void SendNext(std::uint64_t pick);
  /// One live flow, selected by `pick`, ends if it is open.
  void Close(std::uint64_t pick);
  /// Every open flow that has been idle for that long sends payload.
  void SendIfIdle(std::chrono::milliseconds idle);
  /// Every flow without an answer retransmits.
  void Retry();
  /// Every open flow sends payload; then time passes with retransmissions until
  /// those without an answer count as stalled.
  void SpeakAll();

  ModelCounts Counts() const;
  /// Descriptions of violated guarantees; empty when there are none.
  const std::vector<std::string>& Faults() const { return this->faults; }
  /// Open flows by target.
  std::map<common::TargetId, std::size_t> OpenByTarget() const;
  const std::vector<ModelFlow>& Flows() const { return this->flows; }

 private:
  void SendSyn(ModelFlow& flow);
  void SendData(ModelFlow& flow);
  ModelFlow* Pick(std::uint64_t pick);
  void OnStalled(ModelFlow& flow);
  void CheckForwarded(ModelFlow& flow, const PacketOutcome& outcome);
  void CheckReset(const ModelFlow& flow, const PacketOutcome& outcome);
  void RecordFault(const ModelFlow& flow, const PacketOutcome& outcome,
                   const std::string& what);
  bool IsPublished(const common::Endpoint& tunnel) const;
  bool TargetReachable(const PacketOutcome& outcome) const;

  SmallFleet& fleet;
  std::vector<ModelFlow> flows;
  std::vector<std::size_t> live_flows;
  std::vector<std::string> faults;
  std::uint32_t next_caller{0};
};

}  // namespace sassafrasdyke::core::testing

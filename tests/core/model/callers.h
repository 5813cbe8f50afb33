/// Callers and targets as a naive model: one map that knows every flow.
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

/// How a caller's flow fares.
enum class FlowFate {
  kConnecting,
  kOpen,
  kClosed,
  kMisrouted,  ///< A target that doesn't know it got its payload: it is reset.
  kReset,      ///< The balancer reset it.
  kStalled,    ///< No answer for too long.
  kRefused,    ///< A new flow that was told "not run".
};

/// One flow as its caller and its target know it.
struct ModelFlow {
  common::FlowKey key;
  std::uint32_t service{0};
  FlowFate fate{FlowFate::kConnecting};
  /// The target whose SYN-ACK the caller took.
  common::TargetId target;
  /// Tells apart two lives of one target number.
  common::Endpoint tunnel;
  std::uint32_t sequence{1};
  std::chrono::milliseconds opened_at{0};
  std::chrono::milliseconds spoken_at{0};
  /// Since when nothing gets through.
  std::optional<std::chrono::milliseconds> stalled_since;
  /// Targets that got any packet of it; more than one when both sides of a cut
  /// got its SYN.
  std::vector<common::Endpoint> sent_to;
  /// Targets that took payload of it.
  std::set<common::TargetId> ran_at;
  bool payload_sent{false};
  bool syn_forwarded{false};
  std::string last_path;
};

/// Sums over all flows.
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

/// Drives flows through a fleet and checks every packet's fate.
class Callers {
 public:
  explicit Callers(SmallFleet& fleet) : fleet(fleet) {}

  /// Opens a flow to a service: a SYN, and payload as soon as it is answered.
  void Open(std::uint32_t service);
  /// Sends a SYN only; the caller goes on at the next `Speak`.
  void Knock(std::uint32_t service);
  /// One open flow, picked by number, sends payload.
  void Speak(std::uint64_t pick);
  /// One open flow ends.
  void Close(std::uint64_t pick);
  /// Every open flow that was quiet for so long sends payload.
  void SpeakIfQuiet(std::chrono::milliseconds quiet);
  /// Every flow that waits sends again.
  void Retry();
  /// Every open flow sends payload, for some rounds until none waits.
  void SpeakAll();

  ModelCounts Counts() const;
  /// What broke a promise, for a person; empty when nothing did.
  const std::vector<std::string>& Faults() const { return this->faults; }
  /// Open flows by target.
  std::map<common::TargetId, std::size_t> OpenByTarget() const;
  const std::vector<ModelFlow>& Flows() const { return this->flows; }

 private:
  void SendSyn(ModelFlow& flow);
  void SendData(ModelFlow& flow);
  ModelFlow* Pick(std::uint64_t pick);
  void OnStalled(ModelFlow& flow);
  void CheckForwarded(ModelFlow& flow, const Fate& fate);
  void CheckReset(const ModelFlow& flow, const Fate& fate);
  void Fail(const ModelFlow& flow, const Fate& fate, const std::string& what);
  bool IsPublished(const common::Endpoint& tunnel) const;
  bool TargetReachable(const Fate& fate) const;

  SmallFleet& fleet;
  std::vector<ModelFlow> flows;
  std::vector<std::size_t> alive;
  std::vector<std::string> faults;
  std::uint32_t next_caller{0};
};

}  // namespace sassafrasdyke::core::testing

/// Clients' packets in and out: takes them, has them decided, sends them on,
/// and writes down what was decided.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <tl/expected.hpp>

#include "common/address.h"
#include "core/steering/admission_control.h"
#include "core/steering/flow_steering.h"
#include "core/steering/packet_format.h"
#include "core/view/live_view.h"
#include "front/connect_probe.h"
#include "front/early_packets.h"
#include "front/front_log.h"
#include "front/front_metrics.h"
#include "front/packet_port.h"
#include "front/pause_detector.h"
#include "front/process_clock.h"

namespace sassafrasdyke::front {

/// What the port needs of the process; outlives it.
struct FlowContext {
  const core::PacketFormat& format;
  core::LiveView& view;
  const ProcessClock& clock;
  FrontLog& log;
  FrontMetrics& metrics;
  PauseDetector& pauses;
};

/// What distinguishes this instance's decisions from those of others.
struct FlowIdentity {
  std::string domain;  ///< The own failure domain.
  core::WarmupTolerance tolerance;
  std::uint64_t seed{0};  ///< Differs between instances.
  const core::SharedObservations& shared;
};

/// One UDP address for clients' packets.
class FlowPort final : private ProbeListener, private PauseListener {
 public:
  /// Opens the socket; the error is a sentence for a person.
  static tl::expected<std::unique_ptr<FlowPort>, std::string> Open(
      ev::loop_ref loop, const common::Endpoint& listen,
      const FlowIdentity& self, const FlowContext& context);

  FlowPort(const FlowPort&) = delete;
  FlowPort& operator=(const FlowPort&) = delete;

  /// Bounded periodic work, after the pause detector's. `instances`: the
  /// fleet's known size, this one included.
  void OnTick(std::size_t instances);
  /// The view has become usable: packets that came before are taken now.
  void TakeEarlyPackets();
  void OnTargetChange(const core::TargetChange& change);

  const PortCounts& Counts() const { return this->port->Counts(); }
  const core::FlowSteering& Steering() const { return this->steering; }
  core::TargetWatch& Watch() { return this->steering.Watch(); }
  std::size_t OpeningsWaiting() const { return this->admission.Waiting(); }
  std::map<std::uint32_t, std::size_t> OpeningsWaitingByRank() const {
    return this->admission.WaitingByRank();
  }
  const std::map<std::uint32_t, std::uint64_t>& OpeningsRefusedByRank() const {
    return this->admission.RefusedByRank();
  }
  std::size_t EarlyPacketCount() const { return this->early.Size(); }
  std::chrono::milliseconds LastPacket() const { return this->last_packet; }

 private:
  FlowPort(ev::loop_ref loop, const common::Endpoint& listen,
           const FlowIdentity& self, const FlowContext& context,
           std::unique_ptr<PacketPort> port);

  void OnPause(std::chrono::milliseconds length,
               std::chrono::milliseconds now) override;
  void OnPackets(ev::io& watcher, int events);
  void OnPacket(std::span<const std::uint8_t> bytes,
                std::chrono::milliseconds came_at);
  void Steer(const core::FlowPacket& packet,
             std::span<const std::uint8_t> bytes,
             const core::AdmissionGrant& grant);
  /// Sends on the held SYNs for which targets have room now.
  void ReleaseHeld();
  /// Sends resets for the SYNs that can't be served in time.
  void ResetRefused();
  void Act(const core::FlowPacket& packet, const core::SteeringAction& action,
           std::span<const std::uint8_t> bytes);
  void LogDecision(const core::FlowPacket& packet,
                   const core::SteeringAction& action);
  std::optional<DecisionTarget> TargetOf(
      const core::SteeringAction& action) const;
  void StartProbes();
  /// The address of a target that has just shown life.
  std::optional<common::Endpoint> ControlFor(
      core::TargetIndex target, std::chrono::milliseconds now) const;
  void OnProbeEnded(const ProbeResult& result) override;
  /// Tells the clients whose flows are at a target that has ended.
  void ResetEndedFlows(core::TargetIndex target, core::RefusalReason reason);

  const FlowContext context;
  const common::Endpoint listen;
  std::unique_ptr<PacketPort> port;
  core::FlowSteering steering;
  core::AdmissionControl admission;
  EarlyPackets early;
  ConnectProber prober;
  ev::io readable;
  std::chrono::milliseconds last_packet{0};
  bool old_packets{false};  ///< The socket holds packets from before a pause.
};

}  // namespace sassafrasdyke::front

#include "front/flow_port.h"

#include <utility>
#include <variant>

namespace sassafrasdyke::front {
namespace {

using std::chrono::milliseconds;

/// How lately a target must have shown life to serve as a control. With the
/// least traffic of a small deployment some target does several times a second.
constexpr milliseconds kControlAlive{1000};

}  // namespace

tl::expected<std::unique_ptr<FlowPort>, std::string> FlowPort::Open(
    ev::loop_ref loop, const common::Endpoint& listen, const FlowIdentity& self,
    const FlowContext& context) {
  auto port = PacketPort::Open(listen);
  if (!port) {
    return tl::unexpected(port.error());
  }
  return std::unique_ptr<FlowPort>(
      new FlowPort(loop, listen, self, context, std::move(*port)));
}

FlowPort::FlowPort(ev::loop_ref loop, const common::Endpoint& listen,
                   const FlowIdentity& self, const FlowContext& context,
                   std::unique_ptr<PacketPort> port)
    : context(context),
      listen(listen),
      port(std::move(port)),
      steering(self.domain,
               {context.view.Routes(), context.view.Targets(),
                context.view.Contact(), context.view.Regions()},
               self.tolerance, self.seed, self.shared),
      admission(context.view.Routes(), this->steering, self.shared),
      prober(loop, *this),
      readable(loop) {
  this->context.pauses.Add(*this);
  this->context.pauses.OnWake();
  this->readable.set<FlowPort, &FlowPort::OnPackets>(this);
  this->readable.start(this->port->Descriptor(), ev::READ);
}

void FlowPort::OnTick(std::size_t instances) {
  const milliseconds now = this->context.clock.Now();
  for (const core::TargetIndex target :
       this->context.view.Targets().TakeErased()) {
    this->steering.Forget(target);
  }
  this->steering.OnFleetSize(instances, now);
  this->steering.OnTick(now);
  // Before SYNs are refused: targets may have capacity again since the last
  // packet.
  this->ReleaseHeld();
  this->admission.OnTick(now);
  this->ResetRefused();
  this->port->Flush();
  this->StartProbes();
}

// A process that stood still finds packets in its socket that their clients
// have long repeated through other instances. An old SYN among them would be
// placed a second time, at another target, whose answer draws the client's
// later packets away from where its flow is open. So after a pause no SYN is
// taken until the socket has been empty; packets of open flows name their
// target and do no harm.
void FlowPort::OnPause(milliseconds length, milliseconds now) {
  this->old_packets = true;
  this->context.metrics.OnPause();
  this->steering.OnPause(now);
  this->admission.OnPause();
  this->context.log.OnNote("paused", {{"for_ms", length.count()}}, now);
}

void FlowPort::OnPackets(ev::io& /*watcher*/, int /*events*/) {
  this->context.pauses.OnWake();
  const auto started = std::chrono::steady_clock::now();
  const auto take = [this](std::span<const std::uint8_t> bytes) {
    this->OnPacket(bytes, this->context.clock.Now());
  };
  const std::size_t taken = this->port->Receive(take);
  this->old_packets = this->old_packets && taken == PacketPort::kBatch;
  if (taken > 0) {
    this->ReleaseHeld();
    this->port->Flush();
    this->context.metrics.OnBatch(std::chrono::steady_clock::now() - started);
    this->StartProbes();
    this->last_packet = this->context.clock.Now();
  }
}

void FlowPort::OnPacket(std::span<const std::uint8_t> bytes,
                        milliseconds came_at) {
  if (!this->context.view.Usable()) {
    this->early.Keep(bytes, came_at);
    return;
  }
  const auto packet = this->context.format.Read(bytes);
  if (!packet) {
    this->context.metrics.OnDecision(
        core::SilentDrop{core::SilentDropReason::kMalformed});
    return;
  }
  if (this->old_packets && packet->flags.syn) {
    this->LogDecision(*packet,
                      core::SilentDrop{core::SilentDropReason::kOutdated});
    return;
  }
  if (const auto grant = this->admission.Admit(*packet, bytes, came_at,
                                               this->context.clock.Now())) {
    this->Steer(*packet, bytes, *grant);
  } else if (this->admission.Waits(packet->flow)) {
    this->LogDecision(*packet, core::HoldBack{});
  }
  this->ResetRefused();
}

void FlowPort::Steer(const core::FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     const core::AdmissionGrant& grant) {
  const core::SteeringAction action =
      this->steering.OnPacket(packet, this->context.clock.Now(), grant);
  this->Act(packet, action, bytes);
  this->LogDecision(packet, action);
}

void FlowPort::ReleaseHeld() {
  const milliseconds now = this->context.clock.Now();
  while (const auto released = this->admission.TakeNext(now)) {
    const std::vector<std::uint8_t>& bytes = released->syn.bytes;
    if (const auto packet = this->context.format.Read(bytes)) {
      this->Steer(*packet, bytes, released->grant);
    }
  }
}

void FlowPort::ResetRefused() {
  const core::SteeringAction action =
      core::Refuse{core::RefusalReason::kOverloaded};
  for (const core::QueuedSyn& syn : this->admission.TakeRefused()) {
    if (const auto packet = this->context.format.Read(syn.bytes)) {
      this->Act(*packet, action, syn.bytes);
      this->LogDecision(*packet, action);
    }
  }
}

void FlowPort::TakeEarlyPackets() {
  for (const EarlyPackets::Kept& kept :
       this->early.Take(this->context.clock.Now())) {
    this->OnPacket(kept.bytes, kept.at);
  }
  this->ReleaseHeld();
  this->port->Flush();
}

void FlowPort::Act(const core::FlowPacket& packet,
                   const core::SteeringAction& action,
                   std::span<const std::uint8_t> bytes) {
  if (const auto* sent = std::get_if<core::SendToTarget>(&action)) {
    const core::TargetEntry& target =
        this->context.view.Targets().At(sent->target);
    const std::size_t size = this->context.format.WriteForTarget(
        bytes, target.published.number, target.word, this->port->NextBuffer());
    this->port->Queue(size, target.published.address);
  } else if (std::holds_alternative<core::Refuse>(action)) {
    const std::size_t size =
        this->context.format.WriteReset(packet, this->port->NextBuffer());
    // Clients take packets at the port where instances take theirs.
    this->port->Queue(size, {packet.flow.caller.address, this->listen.port});
  }
}

void FlowPort::LogDecision(const core::FlowPacket& packet,
                           const core::SteeringAction& action) {
  this->context.metrics.OnDecision(action);
  const auto* const sent = std::get_if<core::SendToTarget>(&action);
  if (sent != nullptr && sent->reason == core::SteeringReason::kCarried) {
    return;
  }
  const milliseconds now = this->context.clock.Now();
  if (const auto age = this->context.view.Contact().Age(now)) {
    this->context.metrics.OnViewUsed(*age);
  }
  std::optional<milliseconds> flow_seen;
  if (const auto sighting = this->steering.Sighting(packet.flow)) {
    flow_seen = now - sighting->first_seen;
  }
  this->context.log.OnDecision(
      packet, action, this->TargetOf(action),
      {this->context.view.Routes().Version(),
       this->context.view.Items().Complete(),
       this->context.view.Contact().Age(now), this->admission.Waiting(),
       flow_seen,
       this->context.view.Routes().WithdrawnFor(packet.flow.service, now)},
      now);
}

std::optional<DecisionTarget> FlowPort::TargetOf(
    const core::SteeringAction& action) const {
  std::optional<core::TargetIndex> index;
  if (const auto* sent = std::get_if<core::SendToTarget>(&action)) {
    index = sent->target;
  } else if (const auto* refused = std::get_if<core::Refuse>(&action)) {
    index = refused->target;
  }
  if (!index || !this->context.view.Targets().Has(*index)) {
    return std::nullopt;
  }
  return DecisionTarget{this->context.view.Targets().At(*index),
                        this->steering.Watch().Evidence(*index)};
}

void FlowPort::StartProbes() {
  const milliseconds now = this->context.clock.Now();
  for (const core::TargetIndex target :
       this->steering.Watch().TakeProbes(now)) {
    if (!this->context.view.Targets().Has(target)) {
      continue;
    }
    const core::TargetEntry& entry = this->context.view.Targets().At(target);
    // Who has gone is asked only as long as somebody waits for the answer.
    // Else a large fleet would make more connections to ended targets than
    // there are flows.
    const bool ended = entry.phase == core::TargetPhase::kGone &&
                       (this->steering.Watch().Silent(target) ||
                        !this->steering.HasFlowsOf(target));
    if (!ended) {
      this->prober.Start(
          {target, entry.published.address, this->ControlFor(target, now)},
          now);
    }
  }
}

std::optional<common::Endpoint> FlowPort::ControlFor(core::TargetIndex target,
                                                     milliseconds now) const {
  const auto control =
      this->steering.Watch().LastAlive(target, now - kControlAlive);
  if (!control || !this->context.view.Targets().Has(*control)) {
    return std::nullopt;
  }
  return this->context.view.Targets().At(*control).published.address;
}

void FlowPort::OnTargetChange(const core::TargetChange& change) {
  const milliseconds now = this->context.clock.Now();
  core::TargetWatch& watch = this->steering.Watch();
  switch (change.phase) {
    case core::TargetPhase::kServing:
      watch.OnServing(change.target);
      return;
    case core::TargetPhase::kDraining:
      watch.OnLeaving(change.target, now);
      return;
    case core::TargetPhase::kGone:
      break;
    case core::TargetPhase::kUnreadable:
    case core::TargetPhase::kShadowed:
      return;
  }
  if (change.replaced) {
    this->ResetEndedFlows(change.target, core::RefusalReason::kTargetGone);
  } else {
    watch.OnUnpublished(change.target, now);
  }
}

void FlowPort::ResetEndedFlows(core::TargetIndex target,
                               core::RefusalReason reason) {
  const core::SteeringAction action = core::Refuse{reason, target};
  for (const core::FlowPacket& packet :
       this->steering.TakeEndedFlows(target, this->context.clock.Now())) {
    this->Act(packet, action, {});
    this->LogDecision(packet, action);
  }
  this->port->Flush();
}

void FlowPort::OnProbeEnded(const ProbeResult& result) {
  const milliseconds now = this->context.clock.Now();
  this->context.metrics.OnProbe(result.outcome);
  const bool silent_now = this->steering.Watch().OnProbed(
      result.target, result.outcome, result.started_at, now);
  if (silent_now) {
    this->ResetEndedFlows(result.target, core::RefusalReason::kTargetSilent);
  }
  if (result.outcome != core::ProbeOutcome::kAnswered &&
      this->context.view.Targets().Has(result.target)) {
    this->context.log.OnProbe(
        this->context.view.Targets().At(result.target).name, result.outcome,
        silent_now, now);
  }
}

}  // namespace sassafrasdyke::front

#include "core/flow_balancer.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "common/flow_key.h"
#include "core/flow/silence.h"

namespace sassafrasdyke::core {
namespace {

/// Flows checked for expiry in one tick at most.
constexpr std::size_t kMaxExpiryChecks = 5000;
/// Two SYNs closer than this were duplicated by the network, not retransmitted
/// for lack of an answer.
constexpr std::chrono::milliseconds kMinSynGap{500};

bool IsNewSyn(const PacketArrived& packet) {
  return packet.flags.syn && !packet.flags.ack;
}

bool ClosesFlow(const PacketArrived& packet) {
  return packet.flags.fin || packet.flags.rst;
}

/// Whether `from` redirected the packet to this instance.
bool CameFrom(const PacketArrived& packet, common::InstanceId from) {
  return packet.arrival.hops > 0 && packet.arrival.from == from;
}

}  // namespace

std::unique_ptr<Balancer> MakeBalancer(common::InstanceId self,
                                       common::Incarnation incarnation) {
  return std::make_unique<FlowBalancer>(self, incarnation);
}

FlowBalancer::FlowBalancer(common::InstanceId self,
                           common::Incarnation incarnation)
    : self(self),
      exchange(self, incarnation, this->local),
      ownership(self, incarnation, this->local, this->exchange) {}

PacketAction FlowBalancer::OnPacket(const PacketArrived& packet,
                                    std::chrono::milliseconds now,
                                    Outbox& outbox) {
  if (!this->local.IsReady()) {
    return DropPacket{DropReason::kStale};
  }
  const ServiceDirectory& directory = this->local.Directory();
  const std::optional<ServiceIndex> service =
      directory.Find(packet.flow.service);
  if (!service) {
    return DropPacket{DropReason::kUnknownService};
  }
  const common::Fingerprint flow = common::FingerprintOf(
      packet.flow, this->local.CurrentConfiguration().hash_seed);
  return this->Route({packet, flow, *service,
                      directory.PartitionOf(*service, flow), now, outbox});
}

PacketAction FlowBalancer::Route(const Context& context) {
  const Arrival& arrival = context.packet.arrival;
  if (arrival.hops > 0 && arrival.grant.value != 0) {
    this->ownership.OnPacketGrant(arrival.from, context.partition,
                                  arrival.grant, context.now, context.outbox);
  }
  if (this->local.StateOf(context.partition).owned) {
    return this->DecideAsOwner(context);
  }
  // The owner would ask this instance about its flows anyway.
  if (const auto action = this->DecideByOwnRecord(context)) {
    return *action;
  }
  if (arrival.hops > 0 && arrival.purpose == HopPurpose::kAskPrevious) {
    return this->AnswerOwner(context);
  }
  const auto hop =
      this->ownership.HopToOwner(context.partition, arrival, context.now);
  return hop ? this->Redirect(context, *hop, DropReason::kUnreachable)
             : DropPacket{DropReason::kUnreachable};
}

PacketAction FlowBalancer::Redirect(
    const Context& context, common::InstanceId to, DropReason otherwise,
    std::optional<common::InstanceId> asker) const {
  const InstanceView* const instance = this->local.Owners().Find(to);
  if (instance == nullptr) {
    return DropPacket{otherwise};
  }
  const Arrival& arrival = context.packet.arrival;
  if (arrival.hops >= kHopLimit) {
    return DropPacket{DropReason::kHopLimit};
  }
  return RedirectToInstance{
      to, instance->tunnel,
      Arrival{
          .hops = static_cast<std::uint8_t>(arrival.hops + 1),
          .from = this->self,
          .purpose = asker ? HopPurpose::kAskPrevious : HopPurpose::kToOwner,
          .asker = asker.value_or(arrival.asker),
          .grant = this->ownership.GrantFor(context.partition, to)}};
}

std::optional<PacketAction> FlowBalancer::DecideByOwnRecord(
    const Context& context) {
  if (!this->local.StateOf(context.partition).IsHandingOver()) {
    return std::nullopt;
  }
  FlowRecord* const record =
      this->local.LiveRecord(context.flow, context.partition);
  if (record == nullptr) {
    return std::nullopt;
  }
  const bool is_syn = IsNewSyn(context.packet);
  if (is_syn && record->state == FlowState::kClosing) {
    // The caller reuses the port. The hand-over must not name the old flow.
    this->EndFlow(context);
    return std::nullopt;
  }
  const bool gone = this->local.Targets().At(record->target).gone;
  const bool may_be_elsewhere =
      record->from_copy || (record->state == FlowState::kSyn &&
                            !(is_syn && record->payload_forwarded));
  if (gone && may_be_elsewhere) {
    this->EndFlow(context);
    return std::nullopt;
  }
  return this->HandleKnown(context, *record);
}

PacketAction FlowBalancer::DecideAsOwner(const Context& context) {
  FlowRecord* const record =
      this->local.LiveRecord(context.flow, context.partition);
  if (record != nullptr) {
    return this->HandleKnown(context, *record);
  }
  return this->HandleUnknown(context);
}

PacketAction FlowBalancer::AnswerOwner(const Context& context) {
  const PartitionState& state = this->local.StateOf(context.partition);
  const common::InstanceId asker = context.packet.arrival.asker;
  const auto copy = this->exchange.FindCopy(context.flow, context.partition);
  if (copy) {
    return this->Forward(*copy, PlacementReason::kAskedPrevious);
  }
  if (state.IsHandingOver() && !IsNewSyn(context.packet) &&
      !state.fallback_provisional && state.fallback != kNoSlot &&
      !this->local.Targets().At(state.fallback).gone) {
    return this->Forward(state.fallback, PlacementReason::kAskedPrevious);
  }
  this->exchange.OnUnansweredInquiry(context.partition, asker, context.now);
  return this->Redirect(context, asker, DropReason::kUnreachable);
}

PacketAction FlowBalancer::HandleKnown(const Context& context,
                                       FlowRecord& record) {
  if (IsNewSyn(context.packet)) {
    return this->HandleKnownSyn(context, record);
  }
  const TargetSlot slot = record.target;
  const TargetRecord& target = this->local.Targets().At(slot);
  if (target.gone && (record.state == FlowState::kSyn || record.from_copy)) {
    // The flow may have another target: only a SYN was seen here, or another
    // instance named the target by an id that may denote another one now.
    this->EndFlow(context);
    return this->HandleUnknown(context);
  }
  if (target.gone) {
    return this->HandleGoneTarget(context);
  }
  TrackSequence(context.packet, context.now, record);
  const ServicePolicy& policy =
      this->local.Directory().At(context.service).policy;
  if (this->local.HoldsLease() &&
      IsSilent(record, policy.silent_repeats, target.answered_at)) {
    return this->EndWithReset(context, ResetReason::kSilentPath);
  }
  this->UpdateRecord(context, record);
  return this->Forward(slot, PlacementReason::kRecord);
}

void FlowBalancer::UpdateRecord(const Context& context, FlowRecord& record) {
  const PacketArrived& packet = context.packet;
  record.last_seen = Tick::From(context.now);
  if (packet.payload_bytes > 0) {
    record.payload_forwarded = true;
  }
  if (ClosesFlow(packet) && record.state != FlowState::kClosing) {
    this->local.SetState(context.flow, record, FlowState::kClosing);
  } else if (packet.flags.ack && record.state == FlowState::kSyn) {
    this->local.Targets().OnAnswered(record.target, context.now);
    this->local.SetState(context.flow, record, FlowState::kEstablished);
  }
}

PacketAction FlowBalancer::HandleKnownSyn(const Context& context,
                                          FlowRecord& record) {
  const TargetSlot slot = record.target;
  const bool is_repeat = record.state == FlowState::kSyn;
  if (this->local.Targets().At(slot).gone) {
    if (is_repeat && record.payload_forwarded) {
      return this->HandleGoneTarget(context);
    }
    this->EndFlow(context);
    return this->PlaceNew(
        context,
        is_repeat ? std::optional(PlacementReason::kReplaced) : std::nullopt);
  }
  if (record.state == FlowState::kClosing) {
    // The caller reuses the port.
    this->EndFlow(context);
    return this->PlaceNew(context, std::nullopt);
  }
  const bool waited = context.now - record.last_seen.Time() >= kMinSynGap;
  if (is_repeat && waited && !record.counted_unanswered) {
    record.counted_unanswered = true;
    this->local.Targets().OnUnanswered(
        slot, this->local.Directory().At(context.service).policy, context.now);
  }
  record.last_seen = Tick::From(context.now);
  record.payload_forwarded =
      record.payload_forwarded || context.packet.payload_bytes > 0;
  return this->Forward(slot, PlacementReason::kRecord);
}

PacketAction FlowBalancer::HandleGoneTarget(const Context& context) {
  // Without a valid lease this instance can't know that the target is gone for
  // good; a RST would end a flow that others still serve. The same holds while
  // flows are still being handed over, and during a network partition: the
  // other side may have placed the flow as well, and its caller may be
  // connected to that target.
  const PartitionState& state = this->local.StateOf(context.partition);
  if (!this->local.HoldsLease() || state.previous.value != 0 ||
      !this->local.Owners().View().unreachable.empty()) {
    return DropPacket{DropReason::kUnreachable};
  }
  return this->EndWithReset(context, ResetReason::kTargetGone);
}

PacketAction FlowBalancer::EndWithReset(const Context& context,
                                        ResetReason reason) {
  this->EndFlow(context);
  this->RecordDecision(context, FlowReset{reason});
  return ResetCaller{reason};
}

PacketAction FlowBalancer::HandleUnknown(const Context& context) {
  const PacketArrived& packet = context.packet;
  if (const auto copy =
          this->exchange.FindCopy(context.flow, context.partition)) {
    return this->FollowCopy(context, *copy);
  }
  if (this->exchange.AwaitsTarget(context.flow, context.partition,
                                  context.now)) {
    return DropPacket{DropReason::kUnreachable};  // The caller retransmits.
  }
  const common::InstanceId asker = packet.arrival.asker;
  const auto previous =
      this->exchange.PreviousOwner(context.partition, context.now);
  // An instance that asked this one doesn't know the flow either.
  if (previous && asker != this->self && asker != *previous) {
    return this->Redirect(context, *previous, DropReason::kUnreachable,
                          this->self);
  }
  if (this->local.Owners().View().lease == Lease::kStale) {
    return this->HandleStale(context);
  }
  return IsNewSyn(packet) ? this->PlaceNew(context, std::nullopt)
                          : this->Recover(context);
}

PacketAction FlowBalancer::HandleStale(const Context& context) const {
  // A process that was paused may no longer be the owner, and no other instance
  // would find a flow that it places. The standby knows whether it took over.
  const common::InstanceId standby =
      this->local.Owners().At(context.partition).standby;
  if (standby.value == 0 || CameFrom(context.packet, standby)) {
    return DropPacket{DropReason::kStale};
  }
  return this->Redirect(context, standby, DropReason::kStale);
}

PacketAction FlowBalancer::FollowCopy(const Context& context, TargetSlot slot) {
  this->exchange.EraseCopy(context.flow, context.partition);
  FlowRecord record = this->MakeRecord(context, slot, FlowState::kEstablished);
  record.from_copy = true;
  FlowRecord* const opened = this->local.OpenFlow(
      context.flow, context.partition, record, Admission::kEstablishedFlow);
  if (opened == nullptr) {
    return this->Forward(slot, PlacementReason::kCopy);
  }
  this->exchange.OnOpened(context.flow, context.partition, *opened,
                          context.now);
  this->UpdateRecord(context, *opened);
  this->RecordDecision(context,
                       FlowRecovered{this->local.Targets().At(slot).target.id,
                                     PlacementReason::kCopy});
  return this->Forward(slot, PlacementReason::kCopy);
}

PacketAction FlowBalancer::Recover(const Context& context) {
  const TargetSlot fallback = this->exchange.FallbackOf(context.partition);
  if (fallback == kNoSlot || this->local.Targets().At(fallback).gone) {
    return DropPacket{DropReason::kUnreachable};
  }
  // The hand-over of the previous owner may still be on its way. The fallback
  // target might not know the flow and would reset it, whereas the caller of a
  // dropped packet only retransmits.
  const PartitionState& state = this->local.StateOf(context.partition);
  const bool unsettled =
      state.owned && state.fallback_provisional &&
      (context.now < state.owned_since +
                         this->local.CurrentConfiguration().policy.lease ||
       this->exchange.IsLearning(context.partition, context.now));
  const bool suppressed = context.now < state.no_fallback_until;
  if (unsettled || suppressed || this->MayBeAdopted(context.partition)) {
    return DropPacket{DropReason::kUnreachable};
  }
  if (context.packet.flags.rst) {
    return this->Forward(fallback, PlacementReason::kFallback);
  }
  const FlowRecord record =
      this->MakeRecord(context, fallback, FlowState::kEstablished);
  FlowRecord* const opened = this->local.OpenFlow(
      context.flow, context.partition, record, Admission::kEstablishedFlow);
  if (opened != nullptr) {
    this->exchange.OnOpened(context.flow, context.partition, *opened,
                            context.now);
    this->UpdateRecord(context, *opened);
    this->RecordDecision(
        context, FlowRecovered{this->local.Targets().At(fallback).target.id,
                               PlacementReason::kFallback});
  }
  return this->Forward(fallback, PlacementReason::kFallback);
}

bool FlowBalancer::MayBeAdopted(PartitionIndex partition) const {
  const auto others = this->local.Subsets().At(partition).substitutes;
  const auto& cut = this->local.Owners().View().unreachable;
  return std::any_of(
      others.begin(), others.end(), [&cut](common::DomainId other) {
        return std::find(cut.begin(), cut.end(), other) != cut.end();
      });
}

PacketAction FlowBalancer::PlaceNew(const Context& context,
                                    std::optional<PlacementReason> reason) {
  const PartitionState& state = this->local.StateOf(context.partition);
  if (!this->local.Table().HasRoom(Admission::kNewFlow)) {
    return this->Refuse(context, DropReason::kTableFull);
  }
  const bool adopted = this->local.Owners().At(context.partition).adopted;
  const PlacementRequest request{
      .flow = context.flow,
      .service = &this->local.Directory().At(context.service),
      .targets = this->local.Subsets().At(context.partition),
      .fallback = this->exchange.FallbackOf(context.partition),
      .local = this->local.Owners().View().domain,
      .unreachable = this->local.Owners().View().unreachable,
      .adopted = adopted,
      .prefer_fallback = context.now < state.contested_until,
      .reluctance = this->exchange.DeviationFactor(context.now)};
  std::optional<Placement> placement =
      Place(request, this->local.Targets(), context.now);
  if (!placement) {
    return this->Refuse(context, DropReason::kNoTarget);
  }
  placement->reason =
      adopted ? PlacementReason::kAdopted : reason.value_or(placement->reason);
  const FlowRecord record =
      this->MakeRecord(context, placement->slot, FlowState::kSyn);
  FlowRecord* const opened = this->local.OpenFlow(
      context.flow, context.partition, record, Admission::kNewFlow);
  this->exchange.OnOpened(context.flow, context.partition, *opened,
                          context.now);
  this->RecordDecision(
      context, FlowPlaced{this->local.Targets().At(placement->slot).target.id,
                          placement->reason});
  return this->Forward(placement->slot, placement->reason);
}

PacketAction FlowBalancer::Refuse(const Context& context, DropReason reason) {
  if (this->local.HoldsLease() &&
      this->exchange.IsCertainlyNew(context.flow, context.partition,
                                    context.now)) {
    this->RecordDecision(context, FlowReset{ResetReason::kNotRun});
    return ResetCaller{ResetReason::kNotRun};
  }
  this->RecordDecision(context, FlowDropped{reason});
  return DropPacket{reason};
}

FlowRecord FlowBalancer::MakeRecord(const Context& context, TargetSlot slot,
                                    FlowState state) const {
  FlowRecord record;
  record.target = slot;
  record.state = state;
  record.last_seen = Tick::From(context.now);
  record.sequence = context.packet.sequence;
  record.sequence_since = record.last_seen;
  record.payload_forwarded =
      state != FlowState::kSyn || context.packet.payload_bytes > 0;
  return record;
}

ForwardToTarget FlowBalancer::Forward(TargetSlot slot,
                                      PlacementReason reason) const {
  const Target& target = this->local.Targets().At(slot).target;
  return {target.id, target.tunnel, reason};
}

void FlowBalancer::EndFlow(const Context& context) {
  if (const FlowRecord* const record =
          this->local.LiveRecord(context.flow, context.partition)) {
    this->exchange.OnEnded(context.flow, *record, context.now);
    this->local.EndFlow(context.flow);
  }
}

template <typename What>
void FlowBalancer::RecordDecision(const Context& context, What what) const {
  context.outbox.decisions.emplace_back(FlowDecision{
      context.packet.flow, context.flow,
      this->local.Directory().KeyOf(context.partition), std::move(what)});
}

void FlowBalancer::OnConfiguration(
    std::shared_ptr<const Configuration> configuration,
    std::chrono::milliseconds now, Outbox& outbox) {
  if (this->local.HasConfiguration() &&
      configuration->revision <= this->local.CurrentConfiguration().revision) {
    return;
  }
  const std::vector<common::TargetId> ended =
      this->local.SetConfiguration(std::move(configuration), now);
  this->exchange.OnConfiguration(ended, outbox);
  this->ownership.Reconcile(now, outbox);
  this->exchange.ImportResolvedFlows(now);
}

void FlowBalancer::OnFleetView(const FleetView& view,
                               std::chrono::milliseconds now, Outbox& outbox) {
  const FleetView before = this->local.Owners().View();
  this->local.SetView(view);
  this->ownership.Reconcile(now, outbox);
  this->exchange.OnView(before, now);
}

void FlowBalancer::OnPeerMessage(common::InstanceId from,
                                 const PeerMessage& message,
                                 std::chrono::milliseconds now,
                                 Outbox& outbox) {
  if (const auto* const copy = std::get_if<ExceptionCopy>(&message)) {
    if (this->exchange.OnCopy(from, *copy, now, outbox)) {
      this->ownership.OnHandOverEnd(from, copy->partition, now, outbox);
    }
  } else if (const auto* const ack = std::get_if<ExceptionCopyAck>(&message)) {
    this->exchange.OnAck(from, *ack, now, outbox);
  } else if (const auto* const known = std::get_if<OpeningsKnown>(&message)) {
    this->exchange.OnOpeningsKnown(from, *known, now);
  } else if (const auto* const grant = std::get_if<OwnershipGrant>(&message)) {
    this->ownership.OnGrant(from, *grant, now, outbox);
  } else if (const auto* const granted =
                 std::get_if<OwnershipGrantAck>(&message)) {
    this->ownership.OnGrantAck(from, *granted, outbox);
  } else if (const auto* const request = std::get_if<OwnerRequest>(&message)) {
    this->ownership.OnOwnerRequest(from, *request, now, outbox);
  } else if (const auto* const reply = std::get_if<OwnerReply>(&message)) {
    this->ownership.OnOwnerReply(from, *reply, now, outbox);
  } else if (const auto* const health =
                 std::get_if<TargetHealthChange>(&message)) {
    this->local.Targets().OnHealth(*health, now);
  }
}

void FlowBalancer::OnTick(std::chrono::milliseconds now, Outbox& outbox) {
  this->local.Expire(
      now, kMaxExpiryChecks,
      [this, now](common::Fingerprint flow, const FlowRecord& record) {
        this->exchange.OnEnded(flow, record, now);
      });
  this->ownership.OnTick(now, outbox);
  this->exchange.OnTick(now, outbox);
}

BalancerStatus FlowBalancer::Status() const {
  BalancerStatus status;
  status.flows = this->local.Table().Size();
  status.copies_held = this->exchange.CopiesHeld();
  status.copies_waiting = this->exchange.CopiesWaiting();
  for (const PartitionState& state : this->local.Partitions()) {
    status.owned_partitions += state.owned ? 1 : 0;
    status.exceptions += state.owned ? state.Exceptions() : 0;
  }
  status.handed_over =
      this->local.Owners().View().leaving && !this->exchange.IsHandingOver();
  return status;
}

}  // namespace sassafrasdyke::core

#include "core/fleet/live_fleet.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Time over which the first platform reads of instances that start together
/// are spread.
constexpr std::chrono::milliseconds kStartSpread{1000};
/// Time over which the watches of new readers are spread, as when they replace
/// a dead one.
constexpr std::chrono::milliseconds kTakeOverSpread{500};
/// Random peers contacted in addition while the lease isn't being renewed.
constexpr std::size_t kExtraPeers = 2;

std::uint64_t DeriveSeed(std::uint64_t seed, std::uint64_t part) {
  return common::HashNumbers(seed, part, 0);
}

void AddUnique(std::vector<common::InstanceId>& ids, common::InstanceId id) {
  if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
    ids.push_back(id);
  }
}

}  // namespace

LiveFleet::LiveFleet(const SelfIdentity& self, const DocumentReader& reader,
                     std::uint64_t seed)
    : self(self),
      documents(reader),
      exchange(this->documents, DeriveSeed(seed, 1)),
      members(self),
      reports(self.id, this->members),
      heartbeats(DeriveSeed(seed, 2)),
      platform(DeriveSeed(seed, 3)),
      jitter(DeriveSeed(seed, 4)) {}

void LiveFleet::OnPlatformDocument(const Document& document,
                                   std::chrono::milliseconds now,
                                   FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  this->lease_keeper.OnPlatformAnswer(now);
  const bool joining =
      document.kind == DocumentKind::kConfiguration &&
      this->documents.Store(document.kind).Current().revision.value == 0;
  if (joining) {
    this->join_gate.Hold(document, now);
    this->OfferHeldConfiguration(context);
  } else if (this->documents.Offer(document, common::InstanceId{}, outbox) ==
             OfferOutcome::kAccepted) {
    this->OnDocumentAccepted(document.kind, common::InstanceId{}, context);
  }
  this->EndCall(context);
}

void LiveFleet::OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                                 FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  if (reached) {
    this->lease_keeper.OnPlatformAnswer(now);
  }
  this->platform.OnAnswer(reached, now);
  this->EndCall(context);
}

void LiveFleet::OnPeerMessage(common::InstanceId from,
                              const PeerMessage& message,
                              std::chrono::milliseconds now,
                              FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  const bool listed = this->members.Listed(from);
  if (const InstanceView* view = this->members.Find(from);
      view != nullptr && listed && from != this->self.id) {
    const InstanceView sender = *view;
    std::visit(
        [&](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (!kIsFlowMessage<Body>) {
            this->Handle(sender, body, context);
          }
        },
        message);
  } else {
    ++this->unlisted_ignored;
  }
  this->EndCall(context);
}

void LiveFleet::OnTargetProbed(common::TargetId target, TargetHealth health,
                               std::chrono::milliseconds now,
                               FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  this->reports.OnTargetProbed(target, health, context);
  this->EndCall(context);
}

void LiveFleet::OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  this->OfferHeldConfiguration(context);
  this->heartbeats.OnTick(context, this->Policy(), this->HeartbeatContent(),
                          this->ExtraPeers(context));
  if (this->lease == Lease::kHeld) {
    this->ReportPeers(context);
    this->RefuteOwnSuspicions(context);
  }
  this->RefreshMembers(context);
  this->UpdateNeighbours();
  this->exchange.OnTick(context);
  this->limiter.Flush(now, outbox.messages);
  this->EndCall(context);
}

void LiveFleet::OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) {
  const CallContext context = this->BeginCall(now, outbox);
  if (!this->leaving) {
    this->leaving = true;
    this->view_due = true;
    this->reports.Spread(
        this->members.IssueReport(this->self.id, MemberState::kLeaving),
        context);
    this->RefreshMembers(context);
  }
  this->EndCall(context);
}

bool LiveFleet::WatchesPlatform() const { return this->platform.Watching(); }

const InstanceList& LiveFleet::Instances() const {
  return this->documents.Instances();
}

FleetStatus LiveFleet::Status() const {
  FleetStatus status;
  status.configuration =
      this->documents.Store(DocumentKind::kConfiguration).Digest();
  status.instances = this->documents.Store(DocumentKind::kInstances).Digest();
  status.lease = this->lease;
  status.reader = this->plan.reader;
  status.documents_refused = this->documents.RefusedCount();
  status.messages_limited = this->limiter.Limited();
  status.deltas_refused = this->exchange.Counts().deltas_refused;
  status.digest_conflicts = this->exchange.Counts().digest_conflicts;
  status.unlisted_ignored = this->unlisted_ignored;
  status.retries_denied = this->exchange.RetriesDenied();
  status.unreachable = this->unreachable;
  status.budgets = this->limiter.Status();
  status.refusals = this->documents.Refusals();
  for (const InstanceView& view : this->members.Views()) {
    MemberStatus member;
    member.id = view.id;
    member.domain = view.domain;
    member.incarnation = view.incarnation;
    member.use = view.use;
    if (const SuspectingInstances* suspecting =
            this->members.SuspectingInstancesOf(view.id)) {
      member.suspected_by = *suspecting;
    }
    member.configuration =
        this->exchange.KnownOf(view.id, DocumentKind::kConfiguration).revision;
    member.instances =
        this->exchange.KnownOf(view.id, DocumentKind::kInstances).revision;
    status.members.push_back(std::move(member));
  }
  return status;
}

const FleetPolicy& LiveFleet::Policy() const {
  return this->documents.ConfigurationInForce().policy;
}

CallContext LiveFleet::BeginCall(std::chrono::milliseconds now,
                                 FleetOutbox& outbox) {
  const CallContext context{now, outbox, this->limiter};
  if (this->lease_keeper.DetectPause(now, this->Policy())) {
    this->heartbeats.RestartSilences(now);
    this->PublishView(context);
  }
  return context;
}

void LiveFleet::EndCall(const CallContext& context) {
  this->UpdatePlatformWatch(context.now);
  std::vector<common::DomainId> silent =
      UnreachableDomains(this->plan, this->reports.Reachability());
  if (silent != this->unreachable) {
    this->unreachable = std::move(silent);
    this->view_due = true;
  }
  this->PublishView(context);
}

void LiveFleet::Handle(const InstanceView& from, const Heartbeat& message,
                       const CallContext& context) {
  // During a replacement two processes may run at one address. Heartbeats of
  // the old one must not count as signs of life of the new one.
  if (message.incarnation.value < from.incarnation.value) {
    return;
  }
  this->exchange.OnDigests(from.id, message.digests, context);
  this->reports.OnHashes(from.id, from.domain == this->self.domain, message,
                         context);
  if (!message.answer) {
    Heartbeat answer = this->HeartbeatContent();
    answer.answer = true;
    answer.sequence = message.sequence;
    context.Send(from.id, std::move(answer));
    return;
  }
  const auto asked_at = this->heartbeats.OnAnswer(
      from.id, from.domain, message.sequence, context.now);
  if (!asked_at) {
    return;
  }
  if (!message.stale) {
    // After a pause, an instance doesn't know yet that it was suspected and
    // replaced. If it regained its lease before it had its peers' member
    // reports, it would place flows beside the new owner, and requests would
    // run twice.
    if (this->lease != Lease::kHeld) {
      this->RefreshMembers(context);
    }
    const bool same_members = message.members == this->reports.MembersHash();
    this->lease_keeper.OnPeerAnswer(
        *asked_at, same_members && this->CaughtUpWith(message.digests));
  }
  if (this->members.Suspects(from.id)) {
    this->reports.Spread(
        this->members.IssueReport(from.id, MemberState::kAlive), context);
  }
}

void LiveFleet::Handle(const InstanceView& from, const MemberReport& message,
                       const CallContext& context) {
  const bool is_new = this->reports.OnReport(from.id, message, context);
  if (is_new && message.about == message.by) {
    this->heartbeats.RestartSilence(message.about, context.now);
  }
}

void LiveFleet::Handle(const InstanceView& from,
                       const ReachabilityReport& message,
                       const CallContext& context) {
  if (from.domain == this->self.domain) {
    this->reports.OnReport(from.id, message, context);
  }
}

void LiveFleet::Handle(const InstanceView& from,
                       const TargetHealthChange& message,
                       const CallContext& context) {
  if (from.domain == this->self.domain) {
    this->reports.OnReport(from.id, message, context);
  }
}

void LiveFleet::Handle(const InstanceView& from, const DocumentRequest& message,
                       const CallContext& context) {
  this->exchange.OnRequest(from.id, message, context);
}

void LiveFleet::Handle(const InstanceView& from, const DocumentDelta& message,
                       const CallContext& context) {
  if (this->exchange.OnDelta(from.id, message, context)) {
    this->OnDocumentAccepted(message.kind, from.id, context);
  }
}

void LiveFleet::Handle(const InstanceView& from, const DocumentCopy& message,
                       const CallContext& context) {
  if (this->exchange.OnCopy(from.id, message, context)) {
    this->OnDocumentAccepted(message.document.kind, from.id, context);
  }
}

void LiveFleet::OnDocumentAccepted(DocumentKind kind, common::InstanceId from,
                                   const CallContext& context) {
  if (kind == DocumentKind::kConfiguration) {
    this->limiter.SetPolicy(this->Policy());
    this->members.SetWatchers(this->Policy().watchers);
    this->reports.SetConfiguration(this->documents.ConfigurationInForce());
    this->Replan(context.now);
  } else {
    this->members.SetList(this->Instances());
    this->reports.DropUnlisted();
    this->exchange.KeepOnly(this->Instances().instances);
    this->RefreshMembers(context);
    this->Replan(context.now);
  }
  std::vector<common::InstanceId> neighbours = this->plan.RelayPeers();
  for (const common::InstanceId id : this->link_partners) {
    AddUnique(neighbours, id);
  }
  for (const common::InstanceId id : neighbours) {
    if (id != from && !this->exchange.Push(id, kind, context)) {
      this->heartbeats.SendRequest(context, id, this->HeartbeatContent());
    }
  }
}

void LiveFleet::OfferHeldConfiguration(const CallContext& context) {
  const DocumentStore& store =
      this->documents.Store(DocumentKind::kConfiguration);
  const JoinState state{
      store.Current().revision.value != 0,
      this->Instances().revision.value != 0 && this->ListedPeers() == 0};
  std::optional<Document> held = this->join_gate.Release(state, context.now);
  if (held &&
      this->documents.Offer(std::move(*held), common::InstanceId{},
                            context.outbox) == OfferOutcome::kAccepted) {
    this->OnDocumentAccepted(DocumentKind::kConfiguration, common::InstanceId{},
                             context);
  }
}

bool LiveFleet::CaughtUpWith(const std::vector<DocumentDigest>& digests) const {
  return std::all_of(digests.begin(), digests.end(),
                     [this](const DocumentDigest& theirs) {
                       const DocumentDigest& ours =
                           this->documents.Store(theirs.kind).Digest();
                       return theirs.revision.value <= ours.revision.value ||
                              this->documents.Refused(theirs);
                     });
}

Heartbeat LiveFleet::HeartbeatContent() const {
  Heartbeat content;
  content.incarnation = this->self.incarnation;
  content.leaving = this->leaving;
  content.stale = this->lease == Lease::kStale;
  content.digests = this->documents.Digests();
  content.members = this->reports.MembersHash();
  content.health = this->reports.DomainHash();
  return content;
}

std::vector<common::InstanceId> LiveFleet::ExtraPeers(
    const CallContext& context) {
  std::vector<common::InstanceId> extra = this->plan.extra_peers;
  if (!this->lease_keeper.HalfExpired(context.now, this->Policy())) {
    return extra;
  }
  std::vector<common::InstanceId> candidates;
  for (const InstanceView& view : this->members.Views()) {
    if (view.id != this->self.id && view.domain == this->self.domain) {
      candidates.push_back(view.id);
    }
  }
  for (std::size_t i = 0; i < kExtraPeers && !candidates.empty(); ++i) {
    AddUnique(extra, candidates[static_cast<std::size_t>(
                         this->jitter.Below(candidates.size()))]);
  }
  return extra;
}

void LiveFleet::ReportPeers(const CallContext& context) {
  for (const common::InstanceId id : this->plan.watched) {
    if (this->heartbeats.IsSilent(id, context.now, this->Policy()) &&
        !this->members.Suspects(id)) {
      this->reports.Spread(
          this->members.IssueReport(id, MemberState::kSuspected), context);
    }
  }
  for (const LinkState& link :
       this->heartbeats.Links(context.now, this->Policy())) {
    this->reports.ReportReachability(link.domain, link.reachable, context);
  }
}

void LiveFleet::RefuteOwnSuspicions(const CallContext& context) {
  if (context.now < this->next_refutation) {
    return;
  }
  if (const auto answer = this->members.RefuteSuspicions()) {
    // At most one refutation in the time that a new suspicion takes.
    this->next_refutation = context.now + this->Policy().suspect_after;
    this->reports.Spread(*answer, context);
  }
}

void LiveFleet::Replan(std::chrono::milliseconds now) {
  this->plan = MakePeerPlan(this->self, this->members.Views(), this->Policy());
  this->heartbeats.SetPlan(this->plan, now);
  this->UpdateNeighbours();
}

void LiveFleet::UpdateNeighbours() {
  this->link_partners = this->heartbeats.LinkPartners();
  this->reports.SetNeighbours({this->plan.RelayPeers(), this->link_partners});
}

void LiveFleet::RefreshMembers(const CallContext& context) {
  if (this->members.Refresh(context.now, context.outbox.decisions)) {
    this->view_due = true;
    this->Replan(context.now);
  }
}

void LiveFleet::UpdatePlatformWatch(std::chrono::milliseconds now) {
  const bool complete = this->documents.Complete();
  const bool silent = this->lease_keeper.HalfExpired(now, this->Policy());
  const bool needed = !complete || silent || this->plan.reader ||
                      !this->members.Listed(this->self.id);
  // While the join gate holds a document, any watch would be answered with that
  // document at once: a joining instance would read the platform hundreds of
  // times a second.
  const bool wanted = needed && !this->join_gate.Holding();
  this->platform.SetWanted(wanted, now,
                           complete ? kTakeOverSpread : kStartSpread);
}

std::size_t LiveFleet::ListedPeers() const {
  const std::size_t views = this->members.Views().size();
  return views - 1;  // This instance is always among them.
}

void LiveFleet::PublishView(const CallContext& context) {
  Lease next = this->lease_keeper.Evaluate(context.now, this->Policy(),
                                           this->ListedPeers());
  if (!this->documents.Complete()) {
    next = Lease::kStale;
  }
  if (next != this->lease) {
    if (next == Lease::kHeld) {
      this->heartbeats.RestartSilences(context.now);
    }
    this->lease = next;
    this->view_due = true;
    context.outbox.decisions.emplace_back(LeaseChanged{next});
  }
  if (!this->view_due) {
    return;
  }
  this->view_due = false;
  FleetView view;
  view.self = this->self.id;
  view.domain = this->self.domain;
  view.lease = this->lease;
  view.leaving = this->leaving;
  view.instances = this->members.Views();
  view.unreachable = this->unreachable;
  context.outbox.view = std::move(view);
}

std::unique_ptr<Fleet> MakeFleet(const SelfIdentity& self,
                                 const DocumentReader& reader,
                                 std::uint64_t seed) {
  return std::make_unique<LiveFleet>(self, reader, seed);
}

}  // namespace sassafrasdyke::core

#include "core/fleet/live_fleet.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Over which the first reads of instances that start together are spread.
constexpr std::chrono::milliseconds kStartSpread{1000};
/// Over which readers that follow a dead one start.
constexpr std::chrono::milliseconds kTakeOverSpread{500};
/// Further peers asked at once while the lease runs down.
constexpr std::size_t kExtraPeers = 2;

std::uint64_t SubSeed(std::uint64_t seed, std::uint64_t part) {
  return common::HashNumbers(seed, part, 0);
}

void AddOnce(std::vector<common::InstanceId>& ids, common::InstanceId id) {
  if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
    ids.push_back(id);
  }
}

}  // namespace

LiveFleet::LiveFleet(const SelfIdentity& self, const DocumentReader& reader,
                     std::uint64_t seed)
    : self(self),
      documents(reader),
      exchange(this->documents, SubSeed(seed, 1)),
      members(self),
      reports(self.id, this->members),
      heartbeats(SubSeed(seed, 2)),
      platform(SubSeed(seed, 3)),
      jitter(SubSeed(seed, 4)) {}

void LiveFleet::OnPlatformDocument(const Document& document,
                                   std::chrono::milliseconds now,
                                   FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  this->lease_keeper.OnPlatformWord(now);
  const bool joining =
      document.kind == DocumentKind::kConfiguration &&
      this->documents.Store(document.kind).Current().revision.value == 0;
  if (joining) {
    this->join_gate.Hold(document, now);
    this->OfferHeldConfiguration(turn);
  } else if (this->documents.Offer(document, common::InstanceId{}, outbox) ==
             OfferOutcome::kAccepted) {
    this->AfterAccepted(document.kind, common::InstanceId{}, turn);
  }
  this->Finish(turn);
}

void LiveFleet::OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                                 FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  if (reached) {
    this->lease_keeper.OnPlatformWord(now);
  }
  this->platform.OnAnswer(reached, now);
  this->Finish(turn);
}

void LiveFleet::OnPeerMessage(common::InstanceId from,
                              const PeerMessage& message,
                              std::chrono::milliseconds now,
                              FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  const bool listed = this->members.Listed(from);
  if (const InstanceView* view = this->members.Find(from);
      view != nullptr && listed && from != this->self.id) {
    const InstanceView sender = *view;
    std::visit(
        [&](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (!kIsForFlows<Body>) {
            this->Take(sender, body, turn);
          }
        },
        message);
  } else {
    ++this->strangers_ignored;
  }
  this->Finish(turn);
}

void LiveFleet::OnTargetProbed(common::TargetId target, TargetHealth health,
                               std::chrono::milliseconds now,
                               FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  this->reports.OnTargetProbed(target, health, turn);
  this->Finish(turn);
}

void LiveFleet::OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  this->OfferHeldConfiguration(turn);
  this->heartbeats.OnTick(turn, this->Policy(), this->HeartbeatContent(),
                          this->ExtraPeers(turn));
  if (this->lease == Lease::kHeld) {
    this->SpeakOfOthers(turn);
    this->SpeakOfSelf(turn);
  }
  this->RefreshMembers(turn);
  this->UpdateNeighbours();
  this->exchange.OnTick(turn);
  this->limiter.Flush(now, outbox.messages);
  this->Finish(turn);
}

void LiveFleet::OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) {
  const Turn turn = this->Begin(now, outbox);
  if (!this->leaving) {
    this->leaving = true;
    this->view_due = true;
    this->reports.Spread(this->members.Say(this->self.id, MemberWord::kLeaving),
                         turn);
    this->RefreshMembers(turn);
  }
  this->Finish(turn);
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
  status.strangers_ignored = this->strangers_ignored;
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
    if (const Accusers* accusers = this->members.AccusersOf(view.id)) {
      member.suspected_by = *accusers;
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

Turn LiveFleet::Begin(std::chrono::milliseconds now, FleetOutbox& outbox) {
  const Turn turn{now, outbox, this->limiter};
  if (this->lease_keeper.Observe(now, this->Policy())) {
    this->heartbeats.Restart(now);
    this->PublishView(turn);
  }
  return turn;
}

void LiveFleet::Finish(const Turn& turn) {
  this->WantPlatform(turn.now);
  std::vector<common::DomainId> silent =
      UnreachableDomains(this->plan, this->reports.Reachability());
  if (silent != this->unreachable) {
    this->unreachable = std::move(silent);
    this->view_due = true;
  }
  this->PublishView(turn);
}

void LiveFleet::Take(const InstanceView& from, const Heartbeat& message,
                     const Turn& turn) {
  // Two processes at one address during a replacement: the old one's words
  // would keep the new one's predecessor alive in everybody's eyes.
  if (message.incarnation.value < from.incarnation.value) {
    return;
  }
  this->exchange.OnDigests(from.id, message.digests, turn);
  this->reports.OnHashes(from.id, from.domain == this->self.domain, message,
                         turn);
  if (!message.answer) {
    Heartbeat answer = this->HeartbeatContent();
    answer.answer = true;
    answer.sequence = message.sequence;
    turn.Send(from.id, std::move(answer));
    return;
  }
  const auto asked_at = this->heartbeats.OnAnswer(from.id, from.domain,
                                                  message.sequence, turn.now);
  if (!asked_at) {
    return;
  }
  if (!message.stale) {
    // A woken instance doesn't know yet that it was suspected and replaced. If
    // it took its lease back before the others' words, it would place flows
    // beside the new owner, and requests would run twice.
    if (this->lease != Lease::kHeld) {
      this->RefreshMembers(turn);
    }
    const bool same_members = message.members == this->reports.MembersHash();
    this->lease_keeper.OnPeerWord(
        *asked_at, same_members && this->CaughtUpWith(message.digests));
  }
  if (this->members.Suspects(from.id)) {
    this->reports.Spread(this->members.Say(from.id, MemberWord::kAlive), turn);
  }
}

void LiveFleet::Take(const InstanceView& from, const MemberReport& message,
                     const Turn& turn) {
  const bool is_new = this->reports.OnReport(from.id, message, turn);
  if (is_new && message.about == message.by) {
    this->heartbeats.Excuse(message.about, turn.now);
  }
}

void LiveFleet::Take(const InstanceView& from,
                     const ReachabilityReport& message, const Turn& turn) {
  if (from.domain == this->self.domain) {
    this->reports.OnReport(from.id, message, turn);
  }
}

void LiveFleet::Take(const InstanceView& from,
                     const TargetHealthChange& message, const Turn& turn) {
  if (from.domain == this->self.domain) {
    this->reports.OnReport(from.id, message, turn);
  }
}

void LiveFleet::Take(const InstanceView& from, const DocumentRequest& message,
                     const Turn& turn) {
  this->exchange.OnRequest(from.id, message, turn);
}

void LiveFleet::Take(const InstanceView& from, const DocumentDelta& message,
                     const Turn& turn) {
  if (this->exchange.OnDelta(from.id, message, turn)) {
    this->AfterAccepted(message.kind, from.id, turn);
  }
}

void LiveFleet::Take(const InstanceView& from, const DocumentCopy& message,
                     const Turn& turn) {
  if (this->exchange.OnCopy(from.id, message, turn)) {
    this->AfterAccepted(message.document.kind, from.id, turn);
  }
}

void LiveFleet::AfterAccepted(DocumentKind kind, common::InstanceId from,
                              const Turn& turn) {
  if (kind == DocumentKind::kConfiguration) {
    this->limiter.SetPolicy(this->Policy());
    this->members.SetWatchers(this->Policy().watchers);
    this->reports.SetConfiguration(this->documents.ConfigurationInForce());
    this->Replan(turn.now);
  } else {
    this->members.SetList(this->Instances());
    this->reports.ForgetUnlisted();
    this->exchange.KeepOnly(this->Instances().instances);
    this->RefreshMembers(turn);
    this->Replan(turn.now);
  }
  std::vector<common::InstanceId> neighbours = this->plan.Told();
  for (const common::InstanceId id : this->link_partners) {
    AddOnce(neighbours, id);
  }
  for (const common::InstanceId id : neighbours) {
    if (id != from && !this->exchange.Push(id, kind, turn)) {
      this->heartbeats.Ask(turn, id, this->HeartbeatContent());
    }
  }
}

void LiveFleet::OfferHeldConfiguration(const Turn& turn) {
  const DocumentStore& store =
      this->documents.Store(DocumentKind::kConfiguration);
  const JoinState state{
      store.Current().revision.value != 0,
      this->Instances().revision.value != 0 && this->ListedPeers() == 0};
  std::optional<Document> held = this->join_gate.Release(state, turn.now);
  if (held && this->documents.Offer(std::move(*held), common::InstanceId{},
                                    turn.outbox) == OfferOutcome::kAccepted) {
    this->AfterAccepted(DocumentKind::kConfiguration, common::InstanceId{},
                        turn);
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

std::vector<common::InstanceId> LiveFleet::ExtraPeers(const Turn& turn) {
  std::vector<common::InstanceId> extra = this->plan.asked;
  if (!this->lease_keeper.ShouldAsk(turn.now, this->Policy())) {
    return extra;
  }
  std::vector<common::InstanceId> candidates;
  for (const InstanceView& view : this->members.Views()) {
    if (view.id != this->self.id && view.domain == this->self.domain) {
      candidates.push_back(view.id);
    }
  }
  for (std::size_t i = 0; i < kExtraPeers && !candidates.empty(); ++i) {
    AddOnce(extra, candidates[static_cast<std::size_t>(
                       this->jitter.Below(candidates.size()))]);
  }
  return extra;
}

void LiveFleet::SpeakOfOthers(const Turn& turn) {
  for (const common::InstanceId id : this->plan.watched) {
    if (this->heartbeats.Silent(id, turn.now, this->Policy()) &&
        !this->members.Suspects(id)) {
      this->reports.Spread(this->members.Say(id, MemberWord::kSuspected), turn);
    }
  }
  for (const LinkState& link :
       this->heartbeats.Links(turn.now, this->Policy())) {
    this->reports.SayReachable(link.domain, link.reachable, turn);
  }
}

void LiveFleet::SpeakOfSelf(const Turn& turn) {
  if (turn.now < this->next_answer) {
    return;
  }
  if (const auto answer = this->members.AnswerSuspicions()) {
    // At most one answer in the time that watchers need for a new suspicion.
    this->next_answer = turn.now + this->Policy().suspect_after;
    this->reports.Spread(*answer, turn);
  }
}

void LiveFleet::Replan(std::chrono::milliseconds now) {
  this->plan = MakePeerPlan(this->self, this->members.Views(), this->Policy());
  this->heartbeats.SetPlan(this->plan, now);
  this->UpdateNeighbours();
}

void LiveFleet::UpdateNeighbours() {
  this->link_partners = this->heartbeats.LinkPartners();
  this->reports.SetNeighbours({this->plan.Told(), this->link_partners});
}

void LiveFleet::RefreshMembers(const Turn& turn) {
  if (this->members.Refresh(turn.now, turn.outbox.decisions)) {
    this->view_due = true;
    this->Replan(turn.now);
  }
}

void LiveFleet::WantPlatform(std::chrono::milliseconds now) {
  const bool complete = this->documents.Complete();
  const bool silent = this->lease_keeper.ShouldAsk(now, this->Policy());
  const bool needed = !complete || silent || this->plan.reader ||
                      !this->members.Listed(this->self.id);
  // A watch opened now would be answered at once, with the document that is
  // held, and so would the next one: a joining instance would read the platform
  // hundreds of times a second.
  const bool wanted = needed && !this->join_gate.Holding();
  this->platform.Want(wanted, now, complete ? kTakeOverSpread : kStartSpread);
}

std::size_t LiveFleet::ListedPeers() const {
  const std::size_t views = this->members.Views().size();
  return views - 1;  // This instance is always among them.
}

void LiveFleet::PublishView(const Turn& turn) {
  Lease next = this->lease_keeper.Evaluate(turn.now, this->Policy(),
                                           this->ListedPeers());
  if (!this->documents.Complete()) {
    next = Lease::kStale;
  }
  if (next != this->lease) {
    if (next == Lease::kHeld) {
      this->heartbeats.Restart(turn.now);
    }
    this->lease = next;
    this->view_due = true;
    turn.outbox.decisions.emplace_back(LeaseChanged{next});
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
  turn.outbox.view = std::move(view);
}

std::unique_ptr<Fleet> MakeFleet(const SelfIdentity& self,
                                 const DocumentReader& reader,
                                 std::uint64_t seed) {
  return std::make_unique<LiveFleet>(self, reader, seed);
}

}  // namespace sassafrasdyke::core

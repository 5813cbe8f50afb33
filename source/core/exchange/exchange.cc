#include "core/exchange/exchange.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Longest time a new owner asks the one before it. By then a hand-over within
/// the byte budget has long ended, unless the other is stuck.
constexpr std::chrono::milliseconds kAskLimit{std::chrono::seconds{30}};
/// Time to ask after a cut has healed or a lease has come back.
constexpr std::chrono::milliseconds kAskAfterSilence{std::chrono::seconds{10}};
/// A denial may be lost; it is repeated no more often than this.
constexpr std::chrono::milliseconds kDenyInterval{std::chrono::seconds{1}};
/// Copies of an instance that no longer owns are dropped after this.
constexpr std::chrono::milliseconds kKeepCopies{std::chrono::minutes{1}};
constexpr std::chrono::milliseconds kCleanInterval{std::chrono::seconds{10}};
/// Pending flows looked at in one tick.
constexpr std::size_t kQueueBatch = 2000;
/// Burst of the budgets, in seconds of their average.
constexpr std::size_t kBurstSeconds = 4;
/// Factors on the deviation threshold with the budget half and nearly used.
constexpr double kHalfUsed = 0.5;
constexpr double kNearlyUsed = 0.25;
constexpr double kHalfReluctance = 2.0;
constexpr double kNearlyReluctance = 8.0;

bool Contains(const std::vector<common::DomainId>& domains,
              common::DomainId domain) {
  return std::find(domains.begin(), domains.end(), domain) != domains.end();
}

common::BucketLimits LimitsFor(std::size_t bytes_per_second) {
  return {bytes_per_second, kBurstSeconds * bytes_per_second};
}

}  // namespace

Exchange::Exchange(common::InstanceId self, common::Incarnation incarnation,
                   FlowWorld& world)
    : self(self),
      world(world),
      sender(incarnation),
      fallbacks(world, this->store),
      gatherer(world, this->store, this->unresolved, this->sender),
      inquiry(self, world) {}

void Exchange::OnConfiguration(const std::vector<common::TargetId>& ended,
                               std::chrono::milliseconds now, Outbox& outbox) {
  const FleetPolicy& policy = this->world.InForce().policy;
  // Hand-overs have what the whole budget leaves beside the copies: they come
  // seldom, and a leaving instance waits for them.
  const std::size_t rest =
      policy.control_bytes_per_second -
      std::min(policy.control_bytes_per_second, policy.copy_bytes_per_second);
  this->sender.SetLimits(LimitsFor(policy.copy_bytes_per_second),
                         LimitsFor(std::max<std::size_t>(rest, 1000)));
  for (const common::TargetId target : ended) {
    this->store.EraseTarget(target);
    this->unresolved.EraseTarget(target);
  }
  if (!this->world.IsReady()) {
    return;
  }
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    if (this->fallbacks.Refresh(PartitionIndex{i})) {
      this->Note(PartitionIndex{i}, PartitionEvent::kFallbackChanged, {},
                 outbox);
    }
  }
  this->Reconcile(now, outbox);
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    this->AbsorbResolved(PartitionIndex{i}, now);
  }
}

void Exchange::OnView(const FleetView& before, std::chrono::milliseconds now,
                      Outbox& outbox) {
  if (!this->world.IsReady()) {
    return;
  }
  this->Reconcile(now, outbox);
  const FleetView& view = this->world.Owners().View();
  std::vector<common::DomainId> healed;
  for (const common::DomainId domain : before.unreachable) {
    if (!Contains(view.unreachable, domain)) {
      healed.push_back(domain);
    }
  }
  if (!healed.empty()) {
    this->AskHealed(healed, now);
  }
  if (before.lease != Lease::kStale || view.lease != Lease::kHeld) {
    return;
  }
  // While this instance was stale, its standbys placed in its stead.
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (this->world.StateOf(partition).owned) {
      this->AskFor(partition, this->world.Owners().At(partition).standby,
                   now + kAskAfterSilence);
    }
  }
}

void Exchange::AskHealed(const std::vector<common::DomainId>& healed,
                         std::chrono::milliseconds now) {
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (!this->world.StateOf(partition).owned) {
      continue;
    }
    // The first of the other side in the common order stood in for this one.
    const auto others = this->world.Subsets().At(partition).substitutes;
    const auto adopter = std::find_if(
        others.begin(), others.end(),
        [&healed](common::DomainId other) { return Contains(healed, other); });
    if (adopter != others.end()) {
      this->AskFor(partition,
                   this->world.Owners().NextBeside(
                       this->world.Subsets().HashOf(partition), *adopter),
                   now + kAskAfterSilence);
    }
  }
}

void Exchange::AskFor(PartitionIndex partition, common::InstanceId previous,
                      std::chrono::milliseconds until) {
  PartitionState& state = this->world.StateOf(partition);
  if (state.previous.value == 0 && previous != this->self) {
    state.previous = previous;
    state.ask_until = until;
  }
}

void Exchange::Reconcile(std::chrono::milliseconds now, Outbox& outbox) {
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    this->ReconcileOne(PartitionIndex{i}, now, outbox);
  }
}

void Exchange::ReconcileOne(PartitionIndex partition,
                            std::chrono::milliseconds now, Outbox& outbox) {
  const common::InstanceId owner = this->world.Owners().At(partition).owner;
  PartitionState& state = this->world.StateOf(partition);
  const std::optional<CopyDestination> destination = this->DestinationOf(owner);
  const common::Incarnation incarnation =
      destination ? destination->incarnation : common::Incarnation{};
  // A new owner that has just joined asks the standby, which may never have
  // decided anything: it says so, or returns what others have copied here.
  const bool asks_standby =
      owner != state.seen_owner &&
      this->world.Owners().At(partition).standby == this->self;
  // A new life of the owner at the same address knows nothing of what its
  // earlier life copied here.
  const bool reborn = owner == state.seen_owner &&
                      incarnation != state.seen_incarnation &&
                      state.seen_incarnation.value != 0 && destination &&
                      this->HoldsForeignWord(partition, *destination);
  if (state.previous == owner) {
    state.previous = {};  // It decides now; there is nothing to wait for.
  }
  if (owner == this->self) {
    if (!state.owned) {
      this->Take(partition, now, outbox);
    }
    this->UpdateStandby(partition);
  } else if (state.owned) {
    this->GiveUp(partition, outbox);
  } else if (state.remembers && owner != state.given_up_to) {
    // The heir went, too: the next one is told everything, at once. Its end may
    // have to wait until this instance has learned all.
    state.given_up_to = owner;
    state.openings_known_since.reset();
    state.handed_over = false;
    this->sender.Stop(PartitionKey(this->world.Directory().KeyOf(partition)));
    this->StartHandOver(partition);
  } else if (state.stood_in && owner != state.seen_owner) {
    // The flows that were placed in the last owner's stead are now the next
    // one's, who may not have heard of them.
    this->sender.Stop(PartitionKey(this->world.Directory().KeyOf(partition)));
    this->StartHandOver(partition);
  } else if (asks_standby || reborn) {
    this->StartHandOver(partition);
  }
  if (state.seen_owner != owner) {
    this->inquiry.OnFormer(partition, state.seen_owner, now);
  }
  state.seen_owner = owner;
  state.seen_incarnation = incarnation;
}

std::optional<CopyDestination> Exchange::DestinationOf(
    common::InstanceId id) const {
  const InstanceView* const instance = this->world.Owners().Find(id);
  if (instance == nullptr) {
    return std::nullopt;
  }
  return CopyDestination{id, instance->incarnation};
}

common::InstanceId Exchange::PreviousOf(PartitionIndex partition) const {
  const PartitionState& state = this->world.StateOf(partition);
  const OwnerMap& owners = this->world.Owners();
  if (state.seen_owner.value != 0) {
    return state.seen_owner;
  }
  // This instance has just joined. Without it the partition would be with the
  // next in the order, so that one knows.
  if (owners.At(partition).adopted) {
    return {};
  }
  return owners.NextBeside(this->world.Subsets().HashOf(partition),
                           owners.View().domain);
}

void Exchange::Take(PartitionIndex partition, std::chrono::milliseconds now,
                    Outbox& outbox) {
  PartitionState& state = this->world.StateOf(partition);
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const OwnerMap& owners = this->world.Owners();
  const common::InstanceId before = this->PreviousOf(partition);
  state.owned = true;
  state.owned_since = now;
  state.predecessor = before;
  state.given_up_to = {};
  state.handed_over = false;
  state.stood_in = false;
  this->sender.Stop(key);
  if (state.remembers) {
    state.unsure_until = now + this->world.InForce().policy.lease;
  } else {
    state.fallback = kNoSlot;
    state.unresolved = {};
    state.fallback_guessed = true;
  }
  state.remembers = false;
  const CopySet* const set = this->store.SetFrom(key, before);
  for (const CopySet& other : this->store.SetsOf(key)) {
    if (other.handed_over && other.fallback.value != 0) {
      this->fallbacks.Adopt(partition, other.fallback);
    }
  }
  if (set != nullptr && set->complete && set->fallback.value != 0) {
    this->fallbacks.Adopt(partition, set->fallback);
  }
  if (state.fallback == kNoSlot && !owners.At(partition).adopted) {
    state.fallback = this->world.DefaultTarget(partition);
  }
  state.told = set != nullptr && set->handed_over;
  if (before.value != 0 && owners.IsAnswering(before) && !state.told) {
    this->AskFor(partition, before, now + kAskLimit);
  } else {
    this->AbsorbAll(partition, now);
  }
  this->AbsorbHandOvers(partition, now, outbox);
  const InstanceView* const other = owners.Find(before);
  if (other != nullptr && other->use == InstanceUse::kSuspected) {
    state.contested_until = now + this->world.InForce().policy.lease;
  }
  this->Note(partition, PartitionEvent::kTaken, before, outbox);
}

// A sender forgets what is confirmed, and answers with nothing when it is asked
// again. That answer would replace a set that was left in the store.
void Exchange::AbsorbHandOvers(PartitionIndex partition,
                               std::chrono::milliseconds now, Outbox& outbox) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  for (const CopySet& set : this->store.SetsOf(key)) {
    if (set.handed_over) {
      this->Absorb(partition, set, now);
      outbox.messages.push_back(
          {set.from, ExceptionCopyAck{key, set.incarnation, set.generation,
                                      set.next_sequence - 1, false}});
    }
  }
}

void Exchange::GiveUp(PartitionIndex partition, Outbox& outbox) {
  PartitionState& state = this->world.StateOf(partition);
  const common::InstanceId owner = this->world.Owners().At(partition).owner;
  state.openings_known_since = state.OpeningsKnownSince();
  state.claim.reset();
  state.owned = false;
  state.remembers = true;
  state.handed_over = false;
  state.given_up_to = owner;
  // Without this the partition's return would find the end of the earlier
  // hand-over, and the instance that has decided since would not be asked: its
  // flows would go by the fallback to a target that resets them.
  this->store.ForgetHandOvers(this->world.Directory().KeyOf(partition));
  this->Note(partition, PartitionEvent::kGivenUp, owner, outbox);
  this->StartHandOver(partition);
}

void Exchange::StartHandOver(PartitionIndex partition) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const auto destination =
      this->DestinationOf(this->world.Owners().At(partition).owner);
  if (destination) {
    this->sender.Start(key, *destination, CopyPurpose::kHandOver,
                       this->ClaimFor(partition, *destination));
    // "Everything is handed over" would not be true while this instance itself
    // still learns from the one before it.
    const PartitionState& state = this->world.StateOf(partition);
    this->sender.SetComplete(key, state.previous.value == 0);
    this->sender.SetOpeningsKnown(
        key, state.IsHandingOver() ? state.openings_known_since : std::nullopt);
  }
}

void Exchange::StartDeferred(std::chrono::milliseconds now) {
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    PartitionState& state = this->world.StateOf(partition);
    if (state.previous.value != 0 && !this->inquiry.Previous(partition, now)) {
      state.previous = {};
      if (state.owned) {
        this->AbsorbAll(partition, now);
        this->UpdateStandby(partition);
      }
    }
    this->SettleFallback(partition, now);
    const PartitionKey& key = this->world.Directory().KeyOf(partition);
    const OutgoingSet* const set = this->sender.Find(key);
    const bool started =
        set != nullptr && set->purpose == CopyPurpose::kHandOver;
    const bool waits = started && !set->complete;
    if (state.IsHandingOver() && state.previous.value == 0 &&
        (!started || waits)) {
      this->StartHandOver(partition);
    }
  }
}

bool Exchange::HoldsForeignWord(PartitionIndex partition,
                                const CopyDestination& destination) const {
  const auto& sets =
      this->store.SetsOf(this->world.Directory().KeyOf(partition));
  return std::any_of(sets.begin(), sets.end(),
                     [&destination](const CopySet& set) {
                       return !KnowsItself(destination, set);
                     });
}

void Exchange::SettleFallback(PartitionIndex partition,
                              std::chrono::milliseconds now) {
  PartitionState& state = this->world.StateOf(partition);
  const bool settles =
      state.owned && state.fallback_guessed &&
      !this->IsLearning(partition, now) &&
      now - state.owned_since >= this->world.InForce().policy.lease;
  if (settles) {
    // Nobody has claimed to know better, and the flows that were opened since
    // rely on it.
    state.fallback_guessed = false;
    this->UpdateStandby(partition);
  }
}

void Exchange::FlipFallbacks(std::chrono::milliseconds now, Outbox& outbox) {
  for (std::uint32_t i = 0; i < this->world.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (this->fallbacks.Flip(partition, now)) {
      this->UpdateStandby(partition);
      this->Note(partition, PartitionEvent::kFallbackChanged, {}, outbox);
    }
  }
}

void Exchange::UpdateStandby(PartitionIndex partition) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  // A new life of this instance must not replace what its earlier life copied
  // to the standby before it has learned it again.
  if (this->world.StateOf(partition).previous.value != 0) {
    return;
  }
  const auto destination =
      this->DestinationOf(this->world.Owners().At(partition).standby);
  if (!destination) {
    this->sender.Stop(key);
    return;
  }
  this->sender.Start(key, *destination, CopyPurpose::kStandby,
                     this->fallbacks.IdOf(partition));
}

void Exchange::OnCopy(common::InstanceId from, const ExceptionCopy& copy,
                      std::chrono::milliseconds now, Outbox& outbox) {
  const auto partition = this->world.IsReady()
                             ? this->world.Directory().Find(copy.partition)
                             : std::nullopt;
  if (!partition) {
    return;  // No answer: the sender tries again when we know the service.
  }
  const CopyOutcome outcome = this->store.Apply(from, copy, now);
  PartitionState& state = this->world.StateOf(*partition);
  const CopySet* const set = this->store.SetFrom(copy.partition, from);
  const bool learns = state.owned || state.previous == from;
  // To confirm the end of a hand-over is to answer for the partition from then
  // on; the sender forgets it. Whoever isn't the owner in its own eyes leaves
  // the sender waiting, until its own view or the sender's has caught up.
  if (outcome.ack && (learns || !set->handed_over)) {
    outbox.messages.push_back({from, *outcome.ack});
  }
  const bool decides = state.owned || state.IsHandingOver();
  if (decides && set->complete && !set->arriving && set->fallback.value != 0 &&
      (state.previous == from || state.fallback_guessed)) {
    this->fallbacks.Adopt(*partition, set->fallback);
  }
  if (outcome.handed_over && learns) {
    state.told = state.told || from == state.predecessor;
    this->Absorb(*partition, *set, now);
    if (state.previous == from) {
      state.previous = {};
      this->AbsorbAll(*partition, now);
    }
    if (state.owned) {
      this->UpdateStandby(*partition);
    } else if (state.IsHandingOver()) {
      this->StartHandOver(*partition);
    }
    return;
  }
  const bool copied_back = state.remembers && state.handed_over &&
                           from == state.given_up_to && set->complete &&
                           !set->arriving;
  if (copied_back) {
    state.Forget();
    this->unresolved.ErasePartition(copy.partition);
  }
}

void Exchange::OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
                     std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->sender.OnAck(from, ack, now)) {
    return;
  }
  const auto partition = this->world.Directory().Find(ack.partition);
  this->sender.Stop(ack.partition);
  if (!partition) {
    return;
  }
  PartitionState& state = this->world.StateOf(*partition);
  state.stood_in = false;
  if (!state.IsHandingOver()) {
    return;  // What it told was only placed on behalf of the owner.
  }
  state.handed_over = true;
  this->Note(*partition, PartitionEvent::kHandedOver, from, outbox);
  // The standby keeps its records until the new owner has copied them back:
  // else the death of the new owner right now would lose them.
  if (this->world.Owners().At(*partition).standby != this->self) {
    state.Forget();
    this->unresolved.ErasePartition(ack.partition);
  }
}

void Exchange::OnOpeningsKnown(common::InstanceId from,
                               const OpeningsKnown& known,
                               std::chrono::milliseconds now) {
  const auto partition = this->world.IsReady()
                             ? this->world.Directory().Find(known.partition)
                             : std::nullopt;
  if (partition) {
    this->world.StateOf(*partition).claim = {from, now - known.known_for};
  }
}

void Exchange::OnOpened(common::Fingerprint flow, PartitionIndex partition,
                        const FlowRecord& record,
                        std::chrono::milliseconds now) {
  const PartitionState& state = this->world.StateOf(partition);
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  if (!state.owned) {
    // Placed in the owner's stead. It must learn of the flow at once: the next
    // packet may reach it directly.
    this->world.StateOf(partition).stood_in = true;
    if (this->sender.Find(key) == nullptr) {
      this->StartHandOver(partition);
    }
    this->sender.Add(
        key, {flow, this->world.Targets().At(record.target).target.id}, now);
    return;
  }
  if (!this->fallbacks.Finds(record, partition)) {
    const ServiceIndex service = this->world.Directory().ServiceOf(partition);
    this->pending.push_back(
        {flow, key.service,
         now + this->world.Directory().At(service).policy.copy_after});
  }
}

void Exchange::OnEnded(common::Fingerprint flow, const FlowRecord& record,
                       std::chrono::milliseconds now) {
  const auto partition = this->world.PartitionOf(flow, record.service);
  if (record.copied && partition && this->world.IsLive(record, *partition)) {
    this->sender.End(this->world.Directory().KeyOf(*partition), flow, now);
  }
}

void Exchange::OnAskedInVain(PartitionIndex partition, common::InstanceId asker,
                             std::chrono::milliseconds now) {
  PartitionState& state = this->world.StateOf(partition);
  const bool recently =
      state.denied_at.count() >= 0 && now - state.denied_at < kDenyInterval;
  if (state.IsHandingOver() || recently ||
      asker != this->world.Owners().At(partition).owner) {
    return;
  }
  state.denied_at = now;
  this->StartHandOver(partition);
}

void Exchange::OnTick(std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->world.IsReady()) {
    return;
  }
  this->StartDeferred(now);
  this->FlipFallbacks(now, outbox);
  this->QueueDue(now);
  this->gatherer.Gather(now);
  this->sender.Flush(now, outbox);
  this->DropOldCopies(now);
}

void Exchange::QueueDue(std::chrono::milliseconds now) {
  for (std::size_t looks = 0; looks < kQueueBatch; ++looks) {
    if (this->pending.empty() || this->pending.front().due > now) {
      return;
    }
    const Pending next = this->pending.front();
    this->pending.pop_front();
    const auto partition = this->world.PartitionOf(next.flow, next.service);
    FlowRecord* const record =
        partition ? this->world.LiveRecord(next.flow, *partition) : nullptr;
    if (record == nullptr || record->copied ||
        record->state == FlowState::kClosing ||
        this->fallbacks.Finds(*record, *partition)) {
      continue;
    }
    record->copied = true;
    this->sender.Add(
        this->world.Directory().KeyOf(*partition),
        {next.flow, this->world.Targets().At(record->target).target.id}, now);
  }
}

common::TargetId Exchange::ClaimFor(PartitionIndex partition,
                                    const CopyDestination& destination) const {
  if (this->world.StateOf(partition).remembers) {
    return this->fallbacks.IdOf(partition);
  }
  // This instance never decided, but may hold the word of one that did.
  const CopySet* best = nullptr;
  for (const CopySet& set :
       this->store.SetsOf(this->world.Directory().KeyOf(partition))) {
    const bool newer = best == nullptr || set.updated_at > best->updated_at;
    if (set.complete && !KnowsItself(destination, set) && newer) {
      best = &set;
    }
  }
  return best == nullptr ? common::TargetId{} : best->fallback;
}

void Exchange::Absorb(PartitionIndex partition, const CopySet& set,
                      std::chrono::milliseconds now) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  for (const auto& [flow, target] : AllFlows(set)) {
    if (this->world.Targets().Find(target)) {
      this->AbsorbFlow(partition, {flow, target}, now);
    } else {
      this->unresolved.Add(key, {flow, target}, now);
    }
  }
  this->store.EraseFlows(key, set.from);
}

void Exchange::AbsorbResolved(PartitionIndex partition,
                              std::chrono::milliseconds now) {
  if (!this->world.StateOf(partition).owned) {
    return;
  }
  const auto is_known = [this](common::TargetId target) {
    return this->world.Targets().Find(target).has_value();
  };
  for (const FlowException& exception : this->unresolved.TakeKnown(
           this->world.Directory().KeyOf(partition), is_known)) {
    this->AbsorbFlow(partition, exception, now);
  }
}

void Exchange::AbsorbAll(PartitionIndex partition,
                         std::chrono::milliseconds now) {
  const PartitionKey key = this->world.Directory().KeyOf(partition);
  for (const CopySet& set : this->store.SetsOf(key)) {
    this->Absorb(partition, set, now);
  }
}

void Exchange::AbsorbFlow(PartitionIndex partition,
                          const FlowException& exception,
                          std::chrono::milliseconds now) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const auto slot = this->world.Targets().Find(exception.target);
  if (!slot || this->world.Targets().At(*slot).target.service != key.service) {
    return;
  }
  const PartitionState& state = this->world.StateOf(partition);
  const FlowRecord* const known =
      this->world.LiveRecord(exception.flow, partition);
  // A packet that came since this instance decides has settled the matter; a
  // record from before is older than the word of whoever decided meanwhile.
  if (known != nullptr && known->state != FlowState::kSyn &&
      known->last_seen.Time() + std::chrono::milliseconds{Tick::kMilliseconds} >
          state.owned_since) {
    return;
  }
  FlowRecord record;
  record.target = *slot;
  record.state = FlowState::kEstablished;
  record.last_seen = Tick::From(now);
  record.payload_forwarded = true;
  record.from_copy = true;
  record.copied = (state.owned || state.IsHandingOver()) &&
                  !this->fallbacks.Finds(record, partition);
  if (this->world.OpenFlow(exception.flow, partition, record,
                           Admission::kEstablishedFlow) == nullptr) {
    this->world.StateOf(partition).told = false;
  } else if (record.copied) {
    this->sender.Add(key, exception, now);
  }
}

bool Exchange::IsLearning(PartitionIndex partition,
                          std::chrono::milliseconds now) const {
  if (this->inquiry.Previous(partition, now)) {
    return true;
  }
  const auto& sets =
      this->store.SetsOf(this->world.Directory().KeyOf(partition));
  return std::any_of(sets.begin(), sets.end(), [now](const CopySet& set) {
    return set.arriving && now - set.updated_at < kAskAfterSilence;
  });
}

bool Exchange::HoldsCopiesOf(common::InstanceId owner,
                             PartitionIndex partition) const {
  const CopySet* const set =
      this->store.SetFrom(this->world.Directory().KeyOf(partition), owner);
  return set != nullptr && set->complete;
}

std::optional<TargetSlot> Exchange::FindCopy(common::Fingerprint flow,
                                             PartitionIndex partition) const {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const auto target = this->NamedTarget(flow, partition);
  const auto slot = target ? this->world.Targets().Find(*target) : std::nullopt;
  if (!slot || this->world.Targets().At(*slot).target.service != key.service) {
    return std::nullopt;
  }
  return slot;
}

std::optional<common::TargetId> Exchange::NamedTarget(
    common::Fingerprint flow, PartitionIndex partition) const {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const auto copied = this->store.Find(key, flow);
  return copied ? copied : this->unresolved.Find(key, flow);
}

// An instance with another view may place flows until its lease ends, and one
// that died told nobody of its SYNs: a SYN that it forwarded with payload may
// have run, while its caller repeats it without any.
bool Exchange::IsSurelyNew(common::Fingerprint flow, PartitionIndex partition,
                           std::chrono::milliseconds now) const {
  const PartitionState& state = this->world.StateOf(partition);
  const ServiceDirectory& directory = this->world.Directory();
  const std::chrono::milliseconds outdated =
      directory.At(directory.ServiceOf(partition)).policy.syn_idle;
  const std::chrono::milliseconds settled =
      std::min(this->world.InForce().policy.lease, outdated);
  return state.owned && state.previous.value == 0 &&
         !this->NamedTarget(flow, partition) &&
         now - state.owned_since >= settled &&
         now - state.OpeningsKnownSince() >= outdated;
}

bool Exchange::AwaitsTarget(common::Fingerprint flow, PartitionIndex partition,
                            std::chrono::milliseconds now) const {
  const bool soon = now - this->world.StateOf(partition).owned_since <
                    this->world.InForce().policy.lease;
  if (!soon) {
    return false;
  }
  const auto target = this->NamedTarget(flow, partition);
  return target && !this->world.Targets().Find(*target);
}

void Exchange::EraseCopy(common::Fingerprint flow, PartitionIndex partition) {
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  this->store.EraseFlow(key, flow);
  this->unresolved.Erase(key, flow);
}

double Exchange::Reluctance(std::chrono::milliseconds now) {
  const double left = this->sender.BudgetLeft(now);
  if (left < kNearlyUsed) {
    return kNearlyReluctance;
  }
  return left < kHalfUsed ? kHalfReluctance : 1.0;
}

void Exchange::DropOldCopies(std::chrono::milliseconds now) {
  if (now - this->cleaned_at < kCleanInterval) {
    return;
  }
  this->cleaned_at = now;
  this->unresolved.EraseOlder(now - kKeepCopies);
  this->store.EraseUnless(
      [this, now](const PartitionKey& key, const CopySet& set) {
        const auto partition = this->world.Directory().Find(key);
        if (!partition) {
          return false;
        }
        const PartitionOwners& owners = this->world.Owners().At(*partition);
        return set.from == owners.owner || owners.owner == this->self ||
               now - set.updated_at < kKeepCopies;
      });
}

std::size_t Exchange::CopiesWaiting() const {
  return this->pending.size() + this->sender.Waiting();
}

bool Exchange::IsHandingOver() const {
  const auto& partitions = this->world.Partitions();
  return std::any_of(partitions.begin(), partitions.end(),
                     [](const PartitionState& state) {
                       return state.owned || state.IsHandingOver();
                     });
}

void Exchange::Note(PartitionIndex partition, PartitionEvent event,
                    common::InstanceId other, Outbox& outbox) const {
  outbox.decisions.emplace_back(PartitionDecision{
      this->world.Directory().KeyOf(partition), event, other});
}

}  // namespace sassafrasdyke::core

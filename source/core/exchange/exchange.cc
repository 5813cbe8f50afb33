#include "core/exchange/exchange.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Longest time for which a new owner asks its predecessor without a word from
/// it. While a hand-over lasts, the predecessor repeats the grant.
constexpr std::chrono::milliseconds kInquiryLimit{std::chrono::seconds{30}};
/// Time to ask after a network partition has healed or a lease was regained;
/// also the time after which a partly received set counts as abandoned.
constexpr std::chrono::milliseconds kInquiryAfterOutage{
    std::chrono::seconds{10}};
/// Shortest time between two negative answers, which are repeated because a
/// message may be lost.
constexpr std::chrono::milliseconds kNegativeAnswerInterval{
    std::chrono::seconds{1}};
/// How long the copies of an instance that is no longer the owner are kept.
constexpr std::chrono::milliseconds kCopyRetention{std::chrono::minutes{1}};
constexpr std::chrono::milliseconds kCleanupInterval{std::chrono::seconds{10}};
/// Pending flows checked in one tick at most.
constexpr std::size_t kMaxPendingChecks = 2000;
/// Burst of the byte budgets, in seconds of their average rate.
constexpr std::size_t kBurstSeconds = 4;
/// Fractions of the copy budget left below which the deviation threshold is
/// raised, and the factors on it.
constexpr double kHalfBudgetLeft = 0.5;
constexpr double kQuarterBudgetLeft = 0.25;
constexpr double kHalfBudgetFactor = 2.0;
constexpr double kQuarterBudgetFactor = 8.0;

bool Contains(const std::vector<common::DomainId>& domains,
              common::DomainId domain) {
  return std::find(domains.begin(), domains.end(), domain) != domains.end();
}

/// Acknowledges the last message that was applied to the set.
ExceptionCopyAck AckOfLast(const PartitionKey& partition, const CopySet& set) {
  return {partition, set.incarnation, set.generation, set.next_sequence - 1,
          false};
}

common::BucketLimits LimitsFor(std::size_t bytes_per_second) {
  return {bytes_per_second, kBurstSeconds * bytes_per_second};
}

}  // namespace

Exchange::Exchange(common::InstanceId self, common::Incarnation incarnation,
                   LocalState& local)
    : self(self),
      local(local),
      sender(incarnation),
      fallbacks(local, this->store),
      gatherer(local, this->store, this->unresolved, this->sender) {}

void Exchange::OnConfiguration(const std::vector<common::TargetId>& ended,
                               Outbox& outbox) {
  const FleetPolicy& policy = this->local.CurrentConfiguration().policy;
  // Hand-overs get what the copies leave of the total budget: they are rare,
  // and a leaving instance waits for them.
  const std::size_t rest =
      policy.control_bytes_per_second -
      std::min(policy.control_bytes_per_second, policy.copy_bytes_per_second);
  this->sender.SetLimits(LimitsFor(policy.copy_bytes_per_second),
                         LimitsFor(std::max<std::size_t>(rest, 1000)));
  for (const common::TargetId target : ended) {
    this->store.EraseTarget(target);
    this->unresolved.EraseTarget(target);
  }
  if (!this->local.IsReady()) {
    return;
  }
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    if (this->fallbacks.Refresh(PartitionIndex{i})) {
      this->RecordDecision(PartitionIndex{i}, PartitionEvent::kFallbackChanged,
                           {}, outbox);
    }
  }
}

void Exchange::ImportResolvedFlows(std::chrono::milliseconds now) {
  if (!this->local.IsReady()) {
    return;
  }
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    this->ImportResolved(PartitionIndex{i}, now);
  }
}

void Exchange::OnView(const FleetView& before, std::chrono::milliseconds now) {
  if (!this->local.IsReady()) {
    return;
  }
  const FleetView& view = this->local.Owners().View();
  std::vector<common::DomainId> healed;
  for (const common::DomainId domain : before.unreachable) {
    if (!Contains(view.unreachable, domain)) {
      healed.push_back(domain);
    }
  }
  if (!healed.empty()) {
    this->InquireInHealedDomains(healed, now);
  }
  if (before.lease != Lease::kStale || view.lease != Lease::kHeld) {
    return;
  }
  // While this instance was stale, its standbys may have taken its partitions.
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (this->local.StateOf(partition).owned) {
      this->AskUntil(partition, this->local.Owners().At(partition).standby,
                     now + kInquiryAfterOutage);
    }
  }
}

void Exchange::InquireInHealedDomains(
    const std::vector<common::DomainId>& healed,
    std::chrono::milliseconds now) {
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (!this->local.StateOf(partition).owned) {
      continue;
    }
    // Of the domains on the other side, the first in the common order placed
    // flows on behalf of this one.
    const auto others = this->local.Subsets().At(partition).substitutes;
    const auto adopter = std::find_if(
        others.begin(), others.end(),
        [&healed](common::DomainId other) { return Contains(healed, other); });
    if (adopter != others.end()) {
      this->AskUntil(partition,
                     this->local.Owners().NextBeside(
                         this->local.Subsets().HashOf(partition), *adopter),
                     now + kInquiryAfterOutage);
    }
  }
}

void Exchange::StartInquiry(PartitionIndex partition,
                            common::InstanceId previous,
                            std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  if (state.previous == previous) {
    state.ask_until = now + kInquiryLimit;
    return;
  }
  this->AskUntil(partition, previous, now + kInquiryLimit);
}

void Exchange::AskUntil(PartitionIndex partition, common::InstanceId previous,
                        std::chrono::milliseconds until) {
  PartitionState& state = this->local.StateOf(partition);
  if (state.previous.value == 0 && previous != this->self) {
    state.previous = previous;
    state.ask_until = until;
  }
}

std::optional<common::InstanceId> Exchange::PreviousOwner(
    PartitionIndex partition, std::chrono::milliseconds now) const {
  const PartitionState& state = this->local.StateOf(partition);
  if (state.previous.value == 0 || now >= state.ask_until ||
      !this->local.Owners().IsAnswering(state.previous)) {
    return std::nullopt;
  }
  return state.previous;
}

std::optional<CopyDestination> Exchange::DestinationOf(
    common::InstanceId id) const {
  const InstanceView* const instance = this->local.Owners().Find(id);
  if (instance == nullptr) {
    return std::nullopt;
  }
  return CopyDestination{id, instance->incarnation};
}

void Exchange::OnTaken(PartitionIndex partition, common::InstanceId before,
                       std::chrono::milliseconds now, Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const OwnerMap& owners = this->local.Owners();
  this->sender.Stop(key);
  if (state.keeps_records) {
    state.no_fallback_until =
        now + this->local.CurrentConfiguration().policy.lease;
  } else {
    state.fallback = kNoSlot;
    state.unresolved_fallback = {};
    state.fallback_provisional = true;
  }
  state.keeps_records = false;
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
    state.fallback = this->local.DefaultTarget(partition);
  }
  state.predecessor_done = set != nullptr && set->handed_over;
  if (before.value != 0 && owners.IsAnswering(before) &&
      !state.predecessor_done) {
    this->StartInquiry(partition, before, now);
  } else {
    this->ImportAllSets(partition, now);
  }
  this->ImportHandOvers(partition, now, outbox);
  this->UpdateStandby(partition);
  const InstanceView* const other = owners.Find(before);
  if (other != nullptr && other->use == InstanceUse::kSuspected) {
    state.contested_until =
        now + this->local.CurrentConfiguration().policy.lease;
  }
}

// Otherwise, when the partition returns, the earlier hand-over would look like
// a current one and the owner in between would not be asked: its flows would go
// to the fallback, whose target resets them.
void Exchange::OnGivenUp(PartitionIndex partition) {
  this->store.ClearHandedOver(this->local.Directory().KeyOf(partition));
}

// The end of a hand-over that came before the grant may be older than the
// sender's ownership. Without the set, a repeated message isn't acknowledged.
void Exchange::DiscardHandOverFrom(common::InstanceId from,
                                   PartitionIndex partition, Outbox& outbox) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const CopySet* const set = this->store.SetFrom(key, from);
  if (set != nullptr && set->handed_over) {
    ExceptionCopyAck ack = AckOfLast(key, *set);
    ack.resend_whole = true;
    outbox.messages.push_back({from, ack});
    this->store.EraseSet(key, from);
  }
}

bool Exchange::FinishHandOverFrom(common::InstanceId from,
                                  PartitionIndex partition,
                                  std::chrono::milliseconds now,
                                  Outbox& outbox) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const CopySet* const set = this->store.SetFrom(key, from);
  if (this->local.StateOf(partition).previous != from || set == nullptr ||
      !set->handed_over) {
    return false;
  }
  outbox.messages.push_back({from, AckOfLast(key, *set)});
  this->FinishHandOver(partition, *set, now);
  return true;
}

// A sender drops what is acknowledged and answers a later inquiry with an empty
// set. That answer would replace a set that was left in the store.
void Exchange::ImportHandOvers(PartitionIndex partition,
                               std::chrono::milliseconds now, Outbox& outbox) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  for (const CopySet& set : this->store.SetsOf(key)) {
    if (set.handed_over) {
      this->ImportSet(partition, set, now);
      outbox.messages.push_back({set.from, AckOfLast(key, set)});
    }
  }
}

void Exchange::StartHandOver(PartitionIndex partition,
                             common::InstanceId receiver) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const auto destination = this->DestinationOf(receiver);
  if (destination) {
    this->sender.Start(key, *destination, CopyPurpose::kHandOver,
                       this->FallbackToAnnounce(partition, *destination));
    const PartitionState& state = this->local.StateOf(partition);
    this->sender.SetOpeningsKnown(
        key, state.IsHandingOver() ? state.openings_known_since : std::nullopt);
  }
}

void Exchange::EndInquiries(std::chrono::milliseconds now) {
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    PartitionState& state = this->local.StateOf(partition);
    if (state.previous.value != 0 && !this->PreviousOwner(partition, now)) {
      state.previous = {};
      if (state.owned) {
        this->ImportAllSets(partition, now);
        this->UpdateStandby(partition);
      }
    }
    this->SettleFallback(partition, now);
  }
}

bool Exchange::HoldsCopiesOf(common::InstanceId owner,
                             PartitionIndex partition) const {
  const CopySet* const set =
      this->store.SetFrom(this->local.Directory().KeyOf(partition), owner);
  return set != nullptr && set->complete && !set->handed_over;
}

bool Exchange::HoldsCopiesFromOthers(PartitionIndex partition,
                                     common::InstanceId receiver) const {
  const auto destination = this->DestinationOf(receiver);
  const auto& sets =
      this->store.SetsOf(this->local.Directory().KeyOf(partition));
  return destination &&
         std::any_of(sets.begin(), sets.end(), [&](const CopySet& set) {
           return !IsOwnCopy(*destination, set);
         });
}

void Exchange::SettleFallback(PartitionIndex partition,
                              std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  const bool settles = state.owned && state.fallback_provisional &&
                       !this->IsLearning(partition, now) &&
                       now - state.owned_since >=
                           this->local.CurrentConfiguration().policy.lease;
  if (settles) {
    // No other instance has sent a better one, and the flows opened since then
    // rely on it.
    state.fallback_provisional = false;
    this->UpdateStandby(partition);
  }
}

void Exchange::MoveFallbacks(std::chrono::milliseconds now, Outbox& outbox) {
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    if (this->fallbacks.MoveToLargest(partition, now)) {
      this->UpdateStandby(partition);
      this->RecordDecision(partition, PartitionEvent::kFallbackChanged, {},
                           outbox);
    }
  }
}

void Exchange::UpdateStandby(PartitionIndex partition) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  // After a restart this instance must not replace what its earlier incarnation
  // copied to the standby before it has received those flows again.
  if (this->local.StateOf(partition).previous.value != 0) {
    return;
  }
  // While another instance is designated, it will take over if this one fails.
  const PartitionOwners& owners = this->local.Owners().At(partition);
  const auto destination = this->DestinationOf(
      owners.owner == this->self ? owners.standby : owners.owner);
  if (!destination) {
    this->sender.Stop(key);
    return;
  }
  this->sender.Start(key, *destination, CopyPurpose::kStandby,
                     this->fallbacks.AnnouncedId(partition));
}

bool Exchange::OnCopy(common::InstanceId from, const ExceptionCopy& copy,
                      std::chrono::milliseconds now, Outbox& outbox) {
  const auto partition = this->local.IsReady()
                             ? this->local.Directory().Find(copy.partition)
                             : std::nullopt;
  if (!partition) {
    // Not acknowledged, so the sender retries until the service is known here.
    return false;
  }
  const CopyOutcome outcome = this->store.Apply(from, copy, now);
  PartitionState& state = this->local.StateOf(*partition);
  const CopySet* const set = this->store.SetFrom(copy.partition, from);
  const bool awaits_grant = state.awaits_grant && state.previous == from;
  const bool accepts_hand_over = state.owned && !awaits_grant;
  // Acknowledging the end of a hand-over means taking responsibility for the
  // partition: the sender then drops its state. An instance that isn't the
  // owner in its own view doesn't acknowledge it, so that the sender waits
  // until the views agree.
  if (outcome.ack && (accepts_hand_over || !set->handed_over)) {
    outbox.messages.push_back({from, *outcome.ack});
  }
  const bool decides = state.owned || state.IsHandingOver();
  if (decides && set->complete && !set->arriving && set->fallback.value != 0 &&
      (state.previous == from || state.fallback_provisional)) {
    this->fallbacks.Adopt(*partition, set->fallback);
  }
  if (outcome.handed_over && accepts_hand_over) {
    this->FinishHandOver(*partition, *set, now);
    return true;
  }
  const bool copied_back = state.keeps_records && state.handed_over &&
                           from == state.given_up_to && set->complete &&
                           !set->arriving;
  if (copied_back) {
    state.VoidRecords();
    this->unresolved.ErasePartition(copy.partition);
  }
  return false;
}

void Exchange::FinishHandOver(PartitionIndex partition, const CopySet& set,
                              std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  state.predecessor_done =
      state.predecessor_done || set.from == state.predecessor;
  this->ImportSet(partition, set, now);
  if (state.previous == set.from) {
    state.previous = {};
    this->ImportAllSets(partition, now);
  }
  this->UpdateStandby(partition);
}

void Exchange::OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
                     std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->sender.OnAck(from, ack, now)) {
    return;
  }
  const auto partition = this->local.Directory().Find(ack.partition);
  this->sender.Stop(ack.partition);
  if (partition) {
    this->OnHandedOver(*partition, from, outbox);
  }
}

void Exchange::OnHandedOver(PartitionIndex partition,
                            common::InstanceId receiver, Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  if (!state.IsHandingOver()) {
    return;  // Only copies of others were returned.
  }
  this->sender.Stop(key);
  state.handed_over = true;
  this->RecordDecision(partition, PartitionEvent::kHandedOver, receiver,
                       outbox);
  // The standby keeps its records until the new owner has copied them back;
  // otherwise a crash of the new owner at this point would lose them.
  if (this->local.Owners().At(partition).standby != this->self) {
    state.VoidRecords();
    this->unresolved.ErasePartition(key);
  }
}

void Exchange::OnOpeningsKnown(common::InstanceId from,
                               const OpeningsKnown& known,
                               std::chrono::milliseconds now) {
  const auto partition = this->local.IsReady()
                             ? this->local.Directory().Find(known.partition)
                             : std::nullopt;
  if (partition) {
    this->local.StateOf(*partition).claim = {from, now - known.known_for};
  }
}

void Exchange::OnOpened(common::Fingerprint flow, PartitionIndex partition,
                        const FlowRecord& record,
                        std::chrono::milliseconds now) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  if (!this->fallbacks.IsAtFallback(record, partition)) {
    const ServiceIndex service = this->local.Directory().ServiceOf(partition);
    this->pending_copies.push_back(
        {flow, key.service,
         now + this->local.Directory().At(service).policy.copy_after});
  }
}

void Exchange::OnEnded(common::Fingerprint flow, const FlowRecord& record,
                       std::chrono::milliseconds now) {
  const auto partition = this->local.PartitionOf(flow, record.service);
  if (record.copied && partition && this->local.IsLive(record, *partition)) {
    this->sender.End(this->local.Directory().KeyOf(*partition), flow, now);
  }
}

void Exchange::OnUnansweredInquiry(PartitionIndex partition,
                                   common::InstanceId asker,
                                   std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  const bool answered_recently =
      state.negative_answer_at.count() >= 0 &&
      now - state.negative_answer_at < kNegativeAnswerInterval;
  if (state.IsHandingOver() || answered_recently) {
    return;
  }
  state.negative_answer_at = now;
  this->StartHandOver(partition, asker);
}

void Exchange::OnTick(std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->local.IsReady()) {
    return;
  }
  this->EndInquiries(now);
  this->MoveFallbacks(now, outbox);
  this->QueueDueCopies(now);
  this->gatherer.Gather(now);
  this->sender.Flush(now, outbox);
  this->DropOldCopies(now);
}

void Exchange::QueueDueCopies(std::chrono::milliseconds now) {
  for (std::size_t checks = 0; checks < kMaxPendingChecks; ++checks) {
    if (this->pending_copies.empty() ||
        this->pending_copies.front().due > now) {
      return;
    }
    const PendingCopy next = this->pending_copies.front();
    this->pending_copies.pop_front();
    const auto partition = this->local.PartitionOf(next.flow, next.service);
    FlowRecord* const record =
        partition ? this->local.LiveRecord(next.flow, *partition) : nullptr;
    if (record == nullptr || record->copied ||
        record->state == FlowState::kClosing ||
        this->fallbacks.IsAtFallback(*record, *partition)) {
      continue;
    }
    record->copied = true;
    this->sender.Add(
        this->local.Directory().KeyOf(*partition),
        {next.flow, this->local.Targets().At(record->target).target.id}, now);
  }
}

common::TargetId Exchange::FallbackToAnnounce(
    PartitionIndex partition, const CopyDestination& destination) const {
  if (this->local.StateOf(partition).keeps_records) {
    return this->fallbacks.AnnouncedId(partition);
  }
  // This instance never owned the partition, but may hold copies from one that
  // did.
  const CopySet* newest = nullptr;
  for (const CopySet& set :
       this->store.SetsOf(this->local.Directory().KeyOf(partition))) {
    const bool newer = newest == nullptr || set.updated_at > newest->updated_at;
    if (set.complete && !IsOwnCopy(destination, set) && newer) {
      newest = &set;
    }
  }
  return newest == nullptr ? common::TargetId{} : newest->fallback;
}

void Exchange::ImportSet(PartitionIndex partition, const CopySet& set,
                         std::chrono::milliseconds now) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  for (const auto& [flow, target] : AllFlows(set)) {
    if (this->local.Targets().Find(target)) {
      this->ImportFlow(partition, {flow, target}, now);
    } else {
      this->unresolved.Add(key, {flow, target}, now);
    }
  }
  this->store.EraseFlows(key, set.from);
}

void Exchange::ImportResolved(PartitionIndex partition,
                              std::chrono::milliseconds now) {
  if (!this->local.StateOf(partition).owned) {
    return;
  }
  const auto is_known = [this](common::TargetId target) {
    return this->local.Targets().Find(target).has_value();
  };
  for (const FlowException& exception : this->unresolved.TakeKnown(
           this->local.Directory().KeyOf(partition), is_known)) {
    this->ImportFlow(partition, exception, now);
  }
}

void Exchange::ImportAllSets(PartitionIndex partition,
                             std::chrono::milliseconds now) {
  const PartitionKey key = this->local.Directory().KeyOf(partition);
  for (const CopySet& set : this->store.SetsOf(key)) {
    this->ImportSet(partition, set, now);
  }
}

void Exchange::ImportFlow(PartitionIndex partition,
                          const FlowException& exception,
                          std::chrono::milliseconds now) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const auto slot = this->local.Targets().Find(exception.target);
  if (!slot || this->local.Targets().At(*slot).target.service != key.service) {
    return;
  }
  const PartitionState& state = this->local.StateOf(partition);
  const FlowRecord* const known =
      this->local.LiveRecord(exception.flow, partition);
  // A record confirmed by a packet since this instance became the owner takes
  // precedence; an older one is superseded by the copy of an owner in between.
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
                  !this->fallbacks.IsAtFallback(record, partition);
  if (this->local.OpenFlow(exception.flow, partition, record,
                           Admission::kEstablishedFlow) == nullptr) {
    this->local.StateOf(partition).predecessor_done = false;
  } else if (record.copied) {
    this->sender.Add(key, exception, now);
  }
}

bool Exchange::IsLearning(PartitionIndex partition,
                          std::chrono::milliseconds now) const {
  if (this->PreviousOwner(partition, now)) {
    return true;
  }
  const auto& sets =
      this->store.SetsOf(this->local.Directory().KeyOf(partition));
  return std::any_of(sets.begin(), sets.end(), [now](const CopySet& set) {
    return set.arriving && now - set.updated_at < kInquiryAfterOutage;
  });
}

std::optional<TargetSlot> Exchange::FindCopy(common::Fingerprint flow,
                                             PartitionIndex partition) const {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const auto target = this->NamedTarget(flow, partition);
  const auto slot = target ? this->local.Targets().Find(*target) : std::nullopt;
  if (!slot || this->local.Targets().At(*slot).target.service != key.service) {
    return std::nullopt;
  }
  return slot;
}

std::optional<common::TargetId> Exchange::NamedTarget(
    common::Fingerprint flow, PartitionIndex partition) const {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const auto copied = this->store.Find(key, flow);
  return copied ? copied : this->unresolved.Find(key, flow);
}

// An instance with another view may place flows until its lease expires, and
// one that crashed has reported none of its SYNs: the payload of a SYN that it
// forwarded may have been processed, while the caller retransmits the SYN
// without payload.
bool Exchange::IsCertainlyNew(common::Fingerprint flow,
                              PartitionIndex partition,
                              std::chrono::milliseconds now) const {
  const PartitionState& state = this->local.StateOf(partition);
  const ServiceDirectory& directory = this->local.Directory();
  const std::chrono::milliseconds syn_lifetime =
      directory.At(directory.ServiceOf(partition)).policy.syn_idle;
  const std::chrono::milliseconds settling_time =
      std::min(this->local.CurrentConfiguration().policy.lease, syn_lifetime);
  return state.owned && state.previous.value == 0 &&
         !this->NamedTarget(flow, partition) &&
         now - state.owned_since >= settling_time &&
         now - state.OpeningsKnownSince() >= syn_lifetime;
}

bool Exchange::AwaitsTarget(common::Fingerprint flow, PartitionIndex partition,
                            std::chrono::milliseconds now) const {
  const bool within_lease = now - this->local.StateOf(partition).owned_since <
                            this->local.CurrentConfiguration().policy.lease;
  if (!within_lease) {
    return false;
  }
  const auto target = this->NamedTarget(flow, partition);
  return target && !this->local.Targets().Find(*target);
}

void Exchange::EraseCopy(common::Fingerprint flow, PartitionIndex partition) {
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  this->store.EraseFlow(key, flow);
  this->unresolved.Erase(key, flow);
}

double Exchange::DeviationFactor(std::chrono::milliseconds now) {
  const double left = this->sender.BudgetLeft(now);
  if (left < kQuarterBudgetLeft) {
    return kQuarterBudgetFactor;
  }
  return left < kHalfBudgetLeft ? kHalfBudgetFactor : 1.0;
}

void Exchange::DropOldCopies(std::chrono::milliseconds now) {
  if (now - this->cleaned_at < kCleanupInterval) {
    return;
  }
  this->cleaned_at = now;
  this->unresolved.EraseOlder(now - kCopyRetention);
  this->store.EraseUnless(
      [this, now](const PartitionKey& key, const CopySet& set) {
        const auto partition = this->local.Directory().Find(key);
        if (!partition) {
          return false;
        }
        const PartitionOwners& owners = this->local.Owners().At(*partition);
        return set.from == owners.owner || owners.owner == this->self ||
               now - set.updated_at < kCopyRetention;
      });
}

std::size_t Exchange::CopiesWaiting() const {
  return this->pending_copies.size() + this->sender.Waiting();
}

bool Exchange::IsHandingOver() const {
  const auto& partitions = this->local.Partitions();
  return std::any_of(partitions.begin(), partitions.end(),
                     [](const PartitionState& state) {
                       return state.owned || state.IsHandingOver();
                     });
}

void Exchange::RecordDecision(PartitionIndex partition, PartitionEvent event,
                              common::InstanceId other, Outbox& outbox) const {
  outbox.decisions.emplace_back(PartitionDecision{
      this->local.Directory().KeyOf(partition), event, other});
}

}  // namespace sassafrasdyke::core

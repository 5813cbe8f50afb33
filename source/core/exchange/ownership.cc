#include "core/exchange/ownership.h"

#include <cstdint>
#include <vector>

namespace sassafrasdyke::core {
namespace {

constexpr std::chrono::milliseconds kCleanupInterval{std::chrono::seconds{10}};

}  // namespace

Ownership::Ownership(common::InstanceId self, common::Incarnation incarnation,
                     LocalState& local, Exchange& exchange)
    : self(self),
      local(local),
      exchange(exchange),
      grants(incarnation),
      search(self, local) {}

void Ownership::Reconcile(std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->local.IsReady()) {
    return;
  }
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    this->ReconcilePartition(PartitionIndex{i}, now, outbox);
  }
}

void Ownership::ReconcilePartition(PartitionIndex partition,
                                   std::chrono::milliseconds now,
                                   Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const common::InstanceId likely_owner = this->PredecessorOf(partition);
  const common::Incarnation incarnation_before = state.designated_incarnation;
  const bool changed = this->UpdateDesignated(partition, now);
  const bool designated = state.designated == this->self;
  if (state.owned) {
    state.yields = !designated && (state.yields || changed);
    this->exchange.UpdateStandby(partition);
    this->YieldIfReady(partition, now, outbox);
    return;
  }
  if (state.IsHandingOver() && !this->IsReceiverUp(partition)) {
    // The receiver may have passed the ownership on, so this instance hands
    // over its records only. If there is no owner, the designated one finds
    // that out.
    this->grants.Finish(this->local.Directory().KeyOf(partition));
    state.openings_known_since.reset();
    if (!designated && state.designated.value != 0) {
      this->exchange.StartHandOver(partition, state.designated);
    }
  }
  if (designated) {
    this->Seek(partition, likely_owner, now, outbox);
    return;
  }
  this->search.Stop(this->local.Directory().KeyOf(partition));
  this->ReturnCopies(partition, changed, incarnation_before);
}

bool Ownership::UpdateDesignated(PartitionIndex partition,
                                 std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  const common::InstanceId designated =
      this->local.Owners().At(partition).owner;
  const InstanceView* const instance = this->local.Owners().Find(designated);
  const bool changed = designated != state.designated;
  if (changed) {
    state.AddLikelyOwner(state.designated);
    state.designated_since = now;
  }
  state.designated = designated;
  state.designated_incarnation =
      instance == nullptr ? common::Incarnation{} : instance->incarnation;
  const bool receiver_passed_on = changed && designated != state.given_up_to &&
                                  designated != this->self &&
                                  this->IsReceiverUp(partition);
  if (receiver_passed_on && state.keeps_records && state.handed_over) {
    // They are kept until the receiver has copied them back, which won't come.
    state.VoidRecords();
  }
  return changed;
}

void Ownership::ReturnCopies(PartitionIndex partition, bool changed,
                             common::Incarnation incarnation_before) {
  const PartitionState& state = this->local.StateOf(partition);
  // A new owner that has just joined gets from its standby what others have
  // copied there.
  const bool is_standby_of_new =
      changed && this->local.Owners().At(partition).standby == this->self;
  // A restarted owner has lost the flows that its earlier incarnation copied
  // here.
  const bool restarted = !changed && incarnation_before.value != 0 &&
                         state.designated_incarnation != incarnation_before;
  if (state.IsHandingOver()) {
    return;
  }
  if (is_standby_of_new || (restarted && this->exchange.HoldsCopiesFromOthers(
                                             partition, state.designated))) {
    this->exchange.StartHandOver(partition, state.designated);
  }
}

bool Ownership::IsReceiverUp(PartitionIndex partition) const {
  const PartitionState& state = this->local.StateOf(partition);
  const InstanceView* const receiver =
      this->local.Owners().Find(state.given_up_to);
  return receiver != nullptr &&
         receiver->incarnation == state.given_up_incarnation &&
         this->local.Owners().IsAnswering(receiver->id);
}

common::InstanceId Ownership::PredecessorOf(PartitionIndex partition) const {
  const PartitionState& state = this->local.StateOf(partition);
  const OwnerMap& owners = this->local.Owners();
  if (state.designated.value != 0 && state.designated != this->self) {
    return state.designated;
  }
  // This instance has just joined. Without it the next instance in the order
  // would be the owner, so that one has the flows.
  return owners.NextBeside(this->local.Subsets().HashOf(partition),
                           owners.View().domain);
}

void Ownership::Seek(PartitionIndex partition, common::InstanceId likely_owner,
                     std::chrono::milliseconds now, Outbox& outbox) {
  if (this->IsReceiverUp(partition)) {
    this->search.StartAtReceiver(
        partition, this->local.StateOf(partition).given_up_to, now, outbox);
    return;
  }
  this->local.StateOf(partition).AddLikelyOwner(likely_owner);
  const OwnerMap& owners = this->local.Owners();
  // Its copies show that it was the owner, and not only designated.
  const bool owner_failed =
      owners.Find(likely_owner) != nullptr &&
      !owners.IsAnswering(likely_owner) &&
      this->exchange.HoldsCopiesOf(likely_owner, partition);
  if (likely_owner.value == 0 || owner_failed) {
    this->Take(partition, likely_owner, now, outbox);
    return;
  }
  this->search.StartAtLikelyOwners(partition, now, outbox);
}

void Ownership::Take(PartitionIndex partition, common::InstanceId before,
                     std::chrono::milliseconds now, Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  this->search.Stop(key);
  this->grants.Finish(key);
  state.owned = true;
  state.yields = false;
  state.awaits_grant = false;
  state.learns_by_grant = false;
  state.owned_since = now;
  state.predecessor = before;
  state.given_up_to = {};
  state.handed_over = false;
  this->exchange.OnTaken(partition, before, now, outbox);
  this->RecordDecision(partition, PartitionEvent::kTaken, before, outbox);
}

void Ownership::TakeUnowned(const PartitionKey& key,
                            std::chrono::milliseconds now, Outbox& outbox) {
  this->search.Stop(key);
  const auto partition = this->Find(key);
  if (partition && !this->local.StateOf(*partition).owned) {
    this->Take(*partition, this->PredecessorOf(*partition), now, outbox);
  }
}

void Ownership::YieldIfReady(PartitionIndex partition,
                             std::chrono::milliseconds now, Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const bool is_ready =
      state.owned && state.yields && state.previous.value == 0 &&
      state.designated.value != 0 && state.designated != this->self;
  if (!is_ready) {
    return;
  }
  state.openings_known_since = state.OpeningsKnownSince();
  state.claim.reset();
  state.owned = false;
  state.yields = false;
  state.keeps_records = true;
  this->exchange.OnGivenUp(partition);
  this->RecordDecision(partition, PartitionEvent::kGivenUp, state.designated,
                       outbox);
  this->Grant(partition, now, outbox);
}

void Ownership::Grant(PartitionIndex partition, std::chrono::milliseconds now,
                      Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  state.handed_over = false;
  state.given_up_to = state.designated;
  state.given_up_incarnation = state.designated_incarnation;
  state.given_up_at = now;
  this->grants.Grant(this->local.Directory().KeyOf(partition), state.designated,
                     state.openings_known_since, now, outbox);
  this->exchange.StartHandOver(partition, state.designated);
}

void Ownership::OnGrant(common::InstanceId from, const OwnershipGrant& grant,
                        std::chrono::milliseconds now, Outbox& outbox) {
  const auto partition = this->Find(grant.partition);
  if (!partition) {
    return;  // Repeated by the sender until the service is known here.
  }
  const GrantNovelty novelty =
      this->Accept(from, *partition, grant, now, outbox);
  PartitionState& state = this->local.StateOf(*partition);
  if (novelty == GrantNovelty::kIgnored) {
    return;
  }
  if (this->grants.HasReceivedAll(from, grant)) {
    outbox.messages.push_back(
        {from,
         OwnershipGrantAck{grant.partition, grant.incarnation, grant.number}});
    return;
  }
  if (!state.owned) {
    return;
  }
  if (state.previous == from) {
    this->exchange.StartInquiry(*partition, from, now);
  }
  if (state.predecessor == from) {
    state.awaits_grant = false;
    if (grant.openings_known_for.count() > 0) {
      state.claim = {from, now - grant.openings_known_for};
    }
  }
  if (this->exchange.FinishHandOverFrom(from, *partition, now, outbox)) {
    this->OnHandOverEnd(from, grant.partition, now, outbox);
  }
}

void Ownership::OnPacketGrant(common::InstanceId from, PartitionIndex partition,
                              common::GrantNumber number,
                              std::chrono::milliseconds now, Outbox& outbox) {
  const InstanceView* const sender = this->local.Owners().Find(from);
  if (sender == nullptr) {
    return;
  }
  PartitionState& state = this->local.StateOf(partition);
  const bool was_owned = state.owned;
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  this->Accept(from, partition, {key, sender->incarnation, number, {}}, now,
               outbox);
  state.awaits_grant = state.awaits_grant || (state.owned && !was_owned);
}

GrantNovelty Ownership::Accept(common::InstanceId from,
                               PartitionIndex partition,
                               const OwnershipGrant& grant,
                               std::chrono::milliseconds now, Outbox& outbox) {
  PartitionState& state = this->local.StateOf(partition);
  const bool learns_from_another = state.owned && state.learns_by_grant &&
                                   state.previous.value != 0 &&
                                   state.previous != from;
  // The new owner has to ask the sender about its flows, so the sender must be
  // in the view. Until then it repeats the grant.
  if (learns_from_another || !this->local.Owners().IsAnswering(from)) {
    return GrantNovelty::kIgnored;
  }
  const GrantNovelty novelty = this->grants.Accept(from, grant);
  if (novelty != GrantNovelty::kNew) {
    return novelty;
  }
  this->exchange.DiscardHandOverFrom(from, partition, outbox);
  if (state.owned) {
    state.previous = {};
    this->exchange.StartInquiry(partition, from, now);
  } else {
    this->Take(partition, from, now, outbox);
  }
  state.learns_by_grant = true;
  return novelty;
}

void Ownership::OnGrantAck(common::InstanceId from,
                           const OwnershipGrantAck& ack, Outbox& outbox) {
  const auto partition = this->Find(ack.partition);
  if (partition && this->local.StateOf(*partition).given_up_to == from &&
      this->grants.IsUnfinished(from, ack)) {
    this->exchange.OnHandedOver(*partition, from, outbox);
  }
}

void Ownership::OnOwnerRequest(common::InstanceId from,
                               const OwnerRequest& request,
                               std::chrono::milliseconds now, Outbox& outbox) {
  OwnerReply reply{request.partition, OwnerKnowledge::kNone, {}, {}};
  if (const auto partition = this->Find(request.partition)) {
    PartitionState& state = this->local.StateOf(*partition);
    if (state.owned && state.designated == from) {
      // The grant that made this instance the owner came after the view.
      state.yields = true;
      this->YieldIfReady(*partition, now, outbox);
    }
    reply = this->KnowledgeOfOwner(*partition, now);
    if (reply.owner == from) {
      this->grants.Repeat(request.partition, now, outbox);
    }
  }
  outbox.messages.push_back({from, reply});
}

OwnerReply Ownership::KnowledgeOfOwner(PartitionIndex partition,
                                       std::chrono::milliseconds now) const {
  const PartitionState& state = this->local.StateOf(partition);
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  if (state.owned) {
    return {key, OwnerKnowledge::kSelf, {}, {}};
  }
  if (this->IsReceiverUp(partition)) {
    return {key, OwnerKnowledge::kGranted, state.given_up_to, {}};
  }
  if (state.designated == this->self) {
    return {key, OwnerKnowledge::kSearching, this->search.LikelyOwner(key, now),
            this->LikelyOwners(partition)};
  }
  const bool lost = this->local.Owners().Find(state.given_up_to) != nullptr;
  return {key, lost ? OwnerKnowledge::kLost : OwnerKnowledge::kNone,
          state.designated, this->LikelyOwners(partition)};
}

std::vector<common::InstanceId> Ownership::LikelyOwners(
    PartitionIndex partition) const {
  std::vector<common::InstanceId> ids =
      this->local.StateOf(partition).likely_owners;
  std::erase_if(ids, [this](common::InstanceId id) {
    return !this->local.Owners().IsAnswering(id);
  });
  return ids;
}

void Ownership::OnOwnerReply(common::InstanceId from, const OwnerReply& reply,
                             std::chrono::milliseconds now, Outbox& outbox) {
  const auto partition = this->Find(reply.partition);
  if (!partition) {
    return;
  }
  PartitionState& state = this->local.StateOf(*partition);
  if (reply.knowledge == OwnerKnowledge::kSelf) {
    state.AddLikelyOwner(from);
  } else if (reply.knowledge == OwnerKnowledge::kGranted) {
    state.AddLikelyOwner(reply.owner);
  }
  const bool receiver_is_up = this->IsReceiverUp(*partition);
  OwnerReply latest = reply;
  if (reply.knowledge == OwnerKnowledge::kGranted &&
      reply.owner == this->self && state.given_up_to.value != 0 &&
      !receiver_is_up) {
    // This instance has granted the ownership to one that has failed since.
    latest.knowledge = OwnerKnowledge::kLost;
  }
  // An answer from before this instance's grant to the sender proves nothing.
  const bool outdated = reply.knowledge == OwnerKnowledge::kNone &&
                        state.given_up_to == from && receiver_is_up;
  if (!outdated && this->search.OnReply(from, latest, now, outbox)) {
    this->TakeUnowned(reply.partition, now, outbox);
  }
}

void Ownership::OnHandOverEnd(common::InstanceId from,
                              const PartitionKey& partition,
                              std::chrono::milliseconds now, Outbox& outbox) {
  this->grants.OnHandOverEnd(partition, from);
  if (const auto index = this->Find(partition)) {
    this->YieldIfReady(*index, now, outbox);
  }
}

void Ownership::OnTick(std::chrono::milliseconds now, Outbox& outbox) {
  if (!this->local.IsReady()) {
    return;
  }
  const std::chrono::milliseconds lease =
      this->local.CurrentConfiguration().policy.lease;
  for (std::uint32_t i = 0; i < this->local.Partitions().size(); ++i) {
    const PartitionIndex partition{i};
    PartitionState& state = this->local.StateOf(partition);
    if (!state.IsHandingOver()) {
      this->grants.Finish(this->local.Directory().KeyOf(partition));
    }
    // After a network partition two instances may be owners. The one that the
    // views agree on doesn't ask for the ownership.
    const bool overdue = state.owned && state.designated != this->self &&
                         now - state.designated_since >= lease &&
                         now - state.owned_since >= lease;
    state.yields = state.yields || overdue;
    this->YieldIfReady(partition, now, outbox);
  }
  for (const PartitionKey& key : this->search.OnTick(now, outbox)) {
    this->TakeUnowned(key, now, outbox);
  }
  this->grants.Flush(now, outbox);
  if (now - this->cleaned_at >= kCleanupInterval) {
    this->cleaned_at = now;
    this->grants.Forget([this](common::InstanceId id) {
      return this->local.Owners().Find(id) != nullptr;
    });
  }
}

std::optional<common::InstanceId> Ownership::HopToOwner(
    PartitionIndex partition, const Arrival& arrival,
    std::chrono::milliseconds now) const {
  const PartitionState& state = this->local.StateOf(partition);
  // The receiver of a grant may not know of it and send the packet back here.
  if (this->GrantFor(partition, state.given_up_to).value != 0 &&
      this->IsReceiverUp(partition)) {
    return state.given_up_to;
  }
  const bool granted_lately =
      now - state.given_up_at < this->local.CurrentConfiguration().policy.lease;
  const common::InstanceId ways[] = {
      granted_lately ? state.given_up_to : common::InstanceId{},
      state.designated,
      this->search.LikelyOwner(this->local.Directory().KeyOf(partition), now),
      state.given_up_to};
  for (const common::InstanceId id : ways) {
    const bool came_from = arrival.hops > 0 && id == arrival.from;
    if (id.value != 0 && id != this->self && !came_from &&
        this->local.Owners().IsAnswering(id)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<PartitionIndex> Ownership::Find(const PartitionKey& key) const {
  return this->local.IsReady() ? this->local.Directory().Find(key)
                               : std::nullopt;
}

void Ownership::RecordDecision(PartitionIndex partition, PartitionEvent event,
                               common::InstanceId other, Outbox& outbox) const {
  outbox.decisions.emplace_back(PartitionDecision{
      this->local.Directory().KeyOf(partition), event, other});
}

}  // namespace sassafrasdyke::core

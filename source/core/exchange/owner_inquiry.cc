#include "core/exchange/owner_inquiry.h"

namespace sassafrasdyke::core {

std::optional<common::InstanceId> OwnerInquiry::Previous(
    PartitionIndex partition, std::chrono::milliseconds now) const {
  const PartitionState& state = this->local.StateOf(partition);
  if (state.previous.value == 0 || now >= state.ask_until ||
      !this->local.Owners().IsAnswering(state.previous)) {
    return std::nullopt;
  }
  return state.previous;
}

std::optional<common::InstanceId> OwnerInquiry::Next(
    PartitionIndex partition, const Arrival& arrival,
    std::chrono::milliseconds now) const {
  if (arrival.hops + 1 >= kHopLimit) {
    return std::nullopt;  // The last hop is reserved for the way back.
  }
  const OwnerMap& owners = this->local.Owners();
  const auto accepts = [&](common::InstanceId id) {
    return id.value != 0 && id != this->self && id != arrival.asker &&
           !(arrival.hops > 0 && id == arrival.from) && owners.IsAnswering(id);
  };
  // An instance that only forwarded the packet hasn't been asked yet.
  const bool nobody_asked = arrival.asker.value == 0;
  if (const auto previous = this->Previous(partition, now);
      previous && (nobody_asked || accepts(*previous))) {
    return previous;
  }
  const PartitionState& state = this->local.StateOf(partition);
  const PartitionOwners& current = owners.At(partition);
  if (accepts(current.owner)) {
    return current.owner;
  }
  if (state.owned && !nobody_asked) {
    return std::nullopt;  // The instances asked consider this one the owner.
  }
  if (const auto former = state.recent_owners.Newest(now, accepts)) {
    return former;
  }
  const bool took_over_recently =
      state.owned &&
      now - state.owned_since < this->local.CurrentConfiguration().policy.lease;
  return took_over_recently && accepts(current.standby)
             ? std::optional(current.standby)
             : std::nullopt;
}

void OwnerInquiry::OnAsked(PartitionIndex partition, common::InstanceId asker,
                           std::chrono::milliseconds now) {
  if (asker != this->self) {
    this->AddRecentOwner(partition, asker, now);
  }
}

void OwnerInquiry::AddRecentOwner(PartitionIndex partition,
                                  common::InstanceId owner,
                                  std::chrono::milliseconds now) {
  if (owner.value != 0) {
    this->local.StateOf(partition).recent_owners.Add(
        owner, now + this->local.CurrentConfiguration().policy.lease);
  }
}

}  // namespace sassafrasdyke::core

#include "core/exchange/owner_inquiry.h"

namespace sassafrasdyke::core {

std::optional<common::InstanceId> OwnerInquiry::Previous(
    PartitionIndex partition, std::chrono::milliseconds now) const {
  const PartitionState& state = this->world.StateOf(partition);
  if (state.previous.value == 0 || now >= state.ask_until ||
      !this->world.Owners().IsAnswering(state.previous)) {
    return std::nullopt;
  }
  return state.previous;
}

std::optional<common::InstanceId> OwnerInquiry::Next(
    PartitionIndex partition, const Arrival& arrival,
    std::chrono::milliseconds now) const {
  if (arrival.hops + 1 >= kHopLimit) {
    return std::nullopt;  // The last hop is for the way back.
  }
  const OwnerMap& owners = this->world.Owners();
  const auto accepts = [&](common::InstanceId id) {
    return id.value != 0 && id != this->self && id != arrival.asker &&
           !(arrival.hops > 0 && id == arrival.from) && owners.IsAnswering(id);
  };
  // One that only handed the packet on hasn't been asked yet.
  const bool nobody_asked = arrival.asker.value == 0;
  if (const auto previous = this->Previous(partition, now);
      previous && (nobody_asked || accepts(*previous))) {
    return previous;
  }
  const PartitionState& state = this->world.StateOf(partition);
  const PartitionOwners& present = owners.At(partition);
  if (accepts(present.owner)) {
    return present.owner;
  }
  if (state.owned && !nobody_asked) {
    return std::nullopt;  // Whoever was asked takes this one for the owner.
  }
  if (const auto former = state.trail.Newest(now, accepts)) {
    return former;
  }
  const bool new_here = state.owned && now - state.owned_since <
                                           this->world.InForce().policy.lease;
  return new_here && accepts(present.standby) ? std::optional(present.standby)
                                              : std::nullopt;
}

void OwnerInquiry::OnAsked(PartitionIndex partition, common::InstanceId asker,
                           std::chrono::milliseconds now) {
  if (asker != this->self) {
    this->Remember(partition, asker, now);
  }
}

void OwnerInquiry::Remember(PartitionIndex partition, common::InstanceId owner,
                            std::chrono::milliseconds now) {
  if (owner.value != 0) {
    this->world.StateOf(partition).trail.Add(
        owner, now + this->world.InForce().policy.lease);
  }
}

}  // namespace sassafrasdyke::core

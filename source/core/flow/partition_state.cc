#include "core/flow/partition_state.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Within the time of a view's spread a partition hardly moves more often.
constexpr std::size_t kMaxLikelyOwners = 4;

}  // namespace

std::chrono::milliseconds PartitionState::OpeningsKnownSince() const {
  const bool inherited = this->predecessor_done && this->claim &&
                         this->claim->from == this->predecessor;
  return inherited ? std::min(this->owned_since, this->claim->since)
                   : this->owned_since;
}

void PartitionState::VoidRecords() {
  ++this->epoch;
  this->keeps_records = false;
  this->counts.clear();
}

void PartitionState::AddLikelyOwner(common::InstanceId id) {
  if (id.value == 0) {
    return;
  }
  std::erase(this->likely_owners, id);
  this->likely_owners.insert(this->likely_owners.begin(), id);
  if (this->likely_owners.size() > kMaxLikelyOwners) {
    this->likely_owners.pop_back();
  }
}

void PartitionState::Count(TargetSlot slot, int change) {
  const auto found = std::find_if(
      this->counts.begin(), this->counts.end(),
      [slot](const TargetCount& count) { return count.slot == slot; });
  if (found == this->counts.end()) {
    this->counts.push_back({slot, static_cast<std::uint32_t>(change)});
    return;
  }
  found->flows += static_cast<std::uint32_t>(change);
  if (found->flows == 0) {
    this->counts.erase(found);
  }
}

std::uint32_t PartitionState::FlowsAt(TargetSlot slot) const {
  for (const TargetCount& count : this->counts) {
    if (count.slot == slot) {
      return count.flows;
    }
  }
  return 0;
}

std::size_t PartitionState::Exceptions() const {
  std::size_t flows = 0;
  for (const TargetCount& count : this->counts) {
    flows += count.slot == this->fallback ? 0 : count.flows;
  }
  return flows;
}

}  // namespace sassafrasdyke::core

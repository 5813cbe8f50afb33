#include "core/exchange/unresolved_flows.h"

namespace sassafrasdyke::core {

void UnresolvedFlows::Add(const PartitionKey& partition,
                          const FlowException& exception,
                          std::chrono::milliseconds now) {
  this->partitions[partition][exception.flow] = {exception.target, now};
}

std::optional<common::TargetId> UnresolvedFlows::Find(
    const PartitionKey& partition, common::Fingerprint flow) const {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end()) {
    return std::nullopt;
  }
  const auto entry = found->second.find(flow);
  return entry == found->second.end() ? std::nullopt
                                      : std::optional(entry->second.target);
}

std::vector<FlowException> UnresolvedFlows::Of(
    const PartitionKey& partition) const {
  std::vector<FlowException> flows;
  if (const auto found = this->partitions.find(partition);
      found != this->partitions.end()) {
    for (const auto& [flow, entry] : found->second) {
      flows.push_back({flow, entry.target});
    }
  }
  return flows;
}

std::vector<FlowException> UnresolvedFlows::TakeKnown(
    const PartitionKey& partition,
    const std::function<bool(common::TargetId)>& is_known) {
  std::vector<FlowException> known;
  for (const FlowException& exception : this->Of(partition)) {
    if (is_known(exception.target)) {
      known.push_back(exception);
      this->Erase(partition, exception.flow);
    }
  }
  return known;
}

void UnresolvedFlows::Erase(const PartitionKey& partition,
                            common::Fingerprint flow) {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end()) {
    return;
  }
  found->second.erase(flow);
  if (found->second.empty()) {
    this->partitions.erase(found);
  }
}

void UnresolvedFlows::ErasePartition(const PartitionKey& partition) {
  this->partitions.erase(partition);
}

void UnresolvedFlows::EraseTarget(common::TargetId target) {
  this->EraseIf(
      [target](const Entry& entry) { return entry.target == target; });
}

void UnresolvedFlows::EraseOlder(std::chrono::milliseconds since) {
  this->EraseIf([since](const Entry& entry) { return entry.added_at < since; });
}

void UnresolvedFlows::EraseIf(const std::function<bool(const Entry&)>& ends) {
  for (auto& [partition, entries] : this->partitions) {
    std::erase_if(entries,
                  [&ends](const auto& entry) { return ends(entry.second); });
  }
  std::erase_if(this->partitions,
                [](const auto& entries) { return entries.second.empty(); });
}

std::size_t UnresolvedFlows::Size() const {
  std::size_t size = 0;
  for (const auto& [partition, entries] : this->partitions) {
    size += entries.size();
  }
  return size;
}

}  // namespace sassafrasdyke::core

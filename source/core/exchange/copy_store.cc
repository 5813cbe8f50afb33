#include "core/exchange/copy_store.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

void ApplyTo(CopiedFlows& flows, const ExceptionCopy& copy) {
  for (const FlowException& exception : copy.added) {
    flows[exception.flow] = exception.target;
  }
  for (const common::Fingerprint ended : copy.ended) {
    flows.erase(ended);
  }
}

void EraseAt(CopiedFlows& flows, common::TargetId target) {
  for (auto flow = flows.begin(); flow != flows.end();) {
    flow = flow->second == target ? flows.erase(flow) : std::next(flow);
  }
}

ExceptionCopyAck AckOf(const ExceptionCopy& copy, std::uint64_t sequence,
                       bool resend_whole) {
  return {copy.partition, copy.incarnation, copy.generation, sequence,
          resend_whole};
}

void StartFullSet(CopySet& set, const ExceptionCopy& copy) {
  set.generation = copy.generation;
  set.next_sequence = 0;
  set.arriving = true;
  set.arriving_fallback = copy.fallback;
  set.arriving_flows.clear();
}

void FinishFullSet(CopySet& set) {
  set.flows = std::move(set.arriving_flows);
  set.arriving_flows.clear();
  set.fallback = set.arriving_fallback;
  set.arriving = false;
  set.complete = true;
}

/// Restarts the numbering for a new incarnation of the sender. The flows that
/// its earlier incarnation copied stay valid until a full set replaces them.
void StartIncarnation(CopySet& set, common::Incarnation incarnation) {
  set.incarnation = incarnation;
  set.generation = 0;
  set.next_sequence = 0;
  set.arriving = false;
  set.arriving_flows.clear();
}

}  // namespace

CopySet& CopyStore::FindOrAdd(const PartitionKey& partition,
                              common::InstanceId from,
                              common::Incarnation incarnation) {
  std::vector<CopySet>& sets = this->partitions[partition];
  const auto found =
      std::find_if(sets.begin(), sets.end(),
                   [from](const CopySet& set) { return set.from == from; });
  if (found != sets.end()) {
    return *found;
  }
  CopySet fresh;
  fresh.from = from;
  fresh.incarnation = incarnation;
  sets.push_back(std::move(fresh));
  return sets.back();
}

CopyOutcome CopyStore::Apply(common::InstanceId from, const ExceptionCopy& copy,
                             std::chrono::milliseconds now) {
  CopySet& set = this->FindOrAdd(copy.partition, from, copy.incarnation);
  if (copy.incarnation < set.incarnation) {
    return {};  // Delayed message of an earlier incarnation.
  }
  if (copy.incarnation > set.incarnation) {
    StartIncarnation(set, copy.incarnation);
  }
  if (copy.generation < set.generation) {
    return {};  // Belongs to a set that the sender has replaced.
  }
  const bool starts = copy.generation > set.generation;
  if (!starts && copy.sequence < set.next_sequence) {
    // A duplicate or reordered message; its acknowledgement may be lost.
    return {AckOf(copy, set.next_sequence - 1, false), false};
  }
  if (starts && (!copy.whole || copy.sequence != 0)) {
    return {AckOf(copy, copy.sequence, true), false};
  }
  if (starts) {
    StartFullSet(set, copy);
  }
  if (copy.sequence != set.next_sequence) {
    return {AckOf(copy, copy.sequence, true), false};
  }
  set.next_sequence = copy.sequence + 1;
  set.updated_at = now;
  ApplyTo(set.arriving ? set.arriving_flows : set.flows, copy);
  if (set.arriving && !copy.whole) {
    FinishFullSet(set);
  }
  set.handed_over = copy.last;
  return {AckOf(copy, copy.sequence, false), copy.last};
}

std::optional<common::TargetId> CopyStore::Find(
    const PartitionKey& partition, common::Fingerprint flow) const {
  for (const CopySet& set : this->SetsOf(partition)) {
    for (const CopiedFlows* const flows : {&set.arriving_flows, &set.flows}) {
      if (const auto found = flows->find(flow); found != flows->end()) {
        return found->second;
      }
    }
  }
  return std::nullopt;
}

const std::vector<CopySet>& CopyStore::SetsOf(
    const PartitionKey& partition) const {
  static const std::vector<CopySet> none;
  const auto found = this->partitions.find(partition);
  return found == this->partitions.end() ? none : found->second;
}

const CopySet* CopyStore::SetFrom(const PartitionKey& partition,
                                  common::InstanceId from) const {
  for (const CopySet& set : this->SetsOf(partition)) {
    if (set.from == from) {
      return &set;
    }
  }
  return nullptr;
}

void CopyStore::EraseFlow(const PartitionKey& partition,
                          common::Fingerprint flow) {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end()) {
    return;
  }
  for (CopySet& set : found->second) {
    set.flows.erase(flow);
    set.arriving_flows.erase(flow);
  }
}

void CopyStore::EraseFlows(const PartitionKey& partition,
                           common::InstanceId from) {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end()) {
    return;
  }
  // The sender's sequence number is kept: without it a late message would look
  // like a gap and cost a full set.
  for (CopySet& set : found->second) {
    if (set.from == from) {
      set.flows.clear();
      set.arriving_flows.clear();
    }
  }
}

void CopyStore::EraseSet(const PartitionKey& partition,
                         common::InstanceId from) {
  if (const auto found = this->partitions.find(partition);
      found != this->partitions.end()) {
    std::erase_if(found->second,
                  [from](const CopySet& set) { return set.from == from; });
  }
}

void CopyStore::ClearHandedOver(const PartitionKey& partition) {
  if (const auto found = this->partitions.find(partition);
      found != this->partitions.end()) {
    for (CopySet& set : found->second) {
      set.handed_over = false;
    }
  }
}

void CopyStore::EraseTarget(common::TargetId target) {
  for (auto& [key, sets] : this->partitions) {
    for (CopySet& set : sets) {
      EraseAt(set.flows, target);
      EraseAt(set.arriving_flows, target);
      set.fallback = set.fallback == target ? common::TargetId{} : set.fallback;
      set.arriving_fallback = set.arriving_fallback == target
                                  ? common::TargetId{}
                                  : set.arriving_fallback;
    }
  }
}

void CopyStore::EraseUnless(
    const std::function<bool(const PartitionKey&, const CopySet&)>& keep) {
  for (auto entry = this->partitions.begin();
       entry != this->partitions.end();) {
    const PartitionKey& key = entry->first;
    std::erase_if(entry->second, [&keep, &key](const CopySet& set) {
      return !keep(key, set);
    });
    entry = entry->second.empty() ? this->partitions.erase(entry)
                                  : std::next(entry);
  }
}

std::size_t CopyStore::Size() const {
  std::size_t size = 0;
  for (const auto& [key, sets] : this->partitions) {
    for (const CopySet& set : sets) {
      size += set.flows.size() + set.arriving_flows.size();
    }
  }
  return size;
}

CopiedFlows AllFlows(const CopySet& set) {
  CopiedFlows all = set.flows;
  for (const auto& [flow, target] : set.arriving_flows) {
    all[flow] = target;
  }
  return all;
}

}  // namespace sassafrasdyke::core

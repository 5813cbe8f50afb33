#include "core/exchange/copy_gatherer.h"

#include <cstdint>
#include <utility>

namespace sassafrasdyke::core {

bool IsOwnCopy(const CopyDestination& destination, const CopySet& set) {
  return set.from == destination.to &&
         set.incarnation >= destination.incarnation;
}

CopyGatherer::CopyGatherer(LocalState& local, const CopyStore& store,
                           const UnresolvedFlows& unresolved,
                           CopySender& sender)
    : local(local), store(store), unresolved(unresolved), sender(sender) {}

void CopyGatherer::Gather(std::chrono::milliseconds now) {
  const std::map<PartitionKey, GatherMode> wanted =
      this->sender.PartitionsToGather();
  if (wanted.empty()) {
    return;
  }
  std::vector<GatherRequest> requests = this->MakeRequests(wanted);
  this->local.ForEachRecord(
      [this, &requests](common::Fingerprint flow, FlowRecord& record) {
        this->CollectRecord(flow, record, requests);
      });
  for (std::uint32_t i = 0; i < requests.size(); ++i) {
    if (requests[i].gather_mode != GatherMode::kNone) {
      this->sender.Load(this->local.Directory().KeyOf(PartitionIndex{i}),
                        std::move(requests[i].flows), now);
    }
  }
}

std::vector<CopyGatherer::GatherRequest> CopyGatherer::MakeRequests(
    const std::map<PartitionKey, GatherMode>& wanted) const {
  std::vector<GatherRequest> requests(this->local.Partitions().size());
  for (const auto& [key, gather_mode] : wanted) {
    const auto partition = this->local.Directory().Find(key);
    if (!partition) {
      this->sender.Stop(key);
      continue;
    }
    const PartitionState& state = this->local.StateOf(*partition);
    const OutgoingSet* const set = this->sender.Find(key);
    GatherRequest& request = requests[partition->value];
    request.gather_mode = gather_mode;
    request.hand_over = set->purpose == CopyPurpose::kHandOver;
    request.fallback = set->fallback.value == 0 ? kNoSlot : state.fallback;
    request.flows = this->CopiesToReturn(*partition, *set);
  }
  return requests;
}

void CopyGatherer::CollectRecord(common::Fingerprint flow, FlowRecord& record,
                                 std::vector<GatherRequest>& requests) const {
  const auto partition = this->local.PartitionOf(flow, record.service);
  if (!partition || !this->local.IsLive(record, *partition)) {
    return;
  }
  GatherRequest& request = requests[partition->value];
  // A hand-over names every half-open flow, since a retransmitted SYN is not
  // sent to the fallback. Any other flow at the fallback needs no copy.
  const bool is_named = record.target != request.fallback ||
                        (request.hand_over && record.state == FlowState::kSyn);
  const bool is_new =
      request.gather_mode == GatherMode::kFull || !record.copied;
  const TargetRecord& target = this->local.Targets().At(record.target);
  if (request.gather_mode != GatherMode::kNone && is_named && is_new &&
      !target.gone) {
    request.flows.push_back({flow, target.target.id});
    record.copied = true;
  }
}

std::vector<FlowException> CopyGatherer::CopiesToReturn(
    PartitionIndex partition, const OutgoingSet& outgoing) const {
  if (outgoing.purpose != CopyPurpose::kHandOver) {
    return {};
  }
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  std::vector<FlowException> flows = this->unresolved.Of(key);
  for (const CopySet& set : this->store.SetsOf(key)) {
    if (IsOwnCopy(outgoing.destination, set)) {
      continue;
    }
    for (const auto& [flow, target] : AllFlows(set)) {
      flows.push_back({flow, target});
    }
  }
  return flows;
}

}  // namespace sassafrasdyke::core

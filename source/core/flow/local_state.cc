#include "core/flow/local_state.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {

std::vector<common::TargetId> LocalState::SetConfiguration(
    std::shared_ptr<const Configuration> configuration,
    std::chrono::milliseconds now) {
  std::vector<common::TargetId> ended;
  const std::shared_ptr<const Configuration> before =
      std::exchange(this->configuration, std::move(configuration));
  std::vector<TargetSlot> slots_before;
  if (before != nullptr) {
    for (const Target& target : before->targets) {
      slots_before.push_back(*this->targets.Find(target.id));
    }
  }
  this->targets.OnConfiguration(*this->configuration, now);
  for (std::size_t i = 0; i < slots_before.size(); ++i) {
    const common::TargetId id = before->targets[i].id;
    if (this->targets.Find(id) != slots_before[i]) {
      ended.push_back(id);
    }
  }
  this->table.SetCapacity(this->configuration->policy.max_flows);
  const ServiceDirectory directory_before =
      std::exchange(this->directory, ServiceDirectory(this->configuration));
  this->MovePartitions(directory_before);
  this->RebuildSubsets();
  this->RebuildOwners();
  return ended;
}

void LocalState::SetView(const FleetView& view) {
  const bool moved = view.domain != this->view.domain || this->owners.Empty();
  this->view = view;
  if (moved) {
    this->RebuildSubsets();
  }
  this->RebuildOwners();
}

void LocalState::RebuildSubsets() {
  if (this->configuration != nullptr) {
    this->subsets = SubsetMap(*this->configuration, this->directory,
                              this->targets, this->view.domain);
  }
}

void LocalState::RebuildOwners() {
  if (this->configuration != nullptr && !this->view.instances.empty()) {
    this->owners =
        OwnerMap(this->subsets, this->directory.PartitionCount(), this->view);
  }
}

void LocalState::MovePartitions(const ServiceDirectory& before) {
  std::vector<PartitionState> moved(this->directory.PartitionCount());
  for (std::uint32_t i = 0; i < this->partitions.size(); ++i) {
    const PartitionKey& key = before.KeyOf(PartitionIndex{i});
    if (const auto index = this->directory.Find(key)) {
      moved[index->value] = std::move(this->partitions[i]);
    }
  }
  this->partitions = std::move(moved);
}

bool LocalState::IsLive(const FlowRecord& record,
                        PartitionIndex partition) const {
  return record.service == this->directory.KeyOf(partition).service &&
         record.epoch == this->StateOf(partition).epoch;
}

FlowRecord* LocalState::LiveRecord(common::Fingerprint flow,
                                   PartitionIndex partition) {
  FlowRecord* const record = this->table.Find(flow);
  if (record == nullptr || this->IsLive(*record, partition)) {
    return record;
  }
  this->EndFlow(flow);
  return nullptr;
}

FlowRecord* LocalState::OpenFlow(common::Fingerprint flow,
                                 PartitionIndex partition, FlowRecord record,
                                 Admission admission) {
  record.service = this->directory.KeyOf(partition).service;
  record.epoch = this->StateOf(partition).epoch;
  if (this->table.Find(flow) != nullptr) {
    this->EndFlow(flow);
  }
  FlowRecord* const inserted = this->table.Insert(
      flow, record, admission, this->LimitsOf(record.service));
  if (inserted != nullptr) {
    this->targets.FlowOpened(record.target);
    this->StateOf(partition).Count(record.target, 1);
  }
  return inserted;
}

void LocalState::EndFlow(common::Fingerprint flow) {
  if (const FlowRecord* const record = this->table.Find(flow)) {
    this->RemoveFromCounts(flow, *record);
    this->table.Erase(flow);
  }
}

void LocalState::RemoveFromCounts(common::Fingerprint flow,
                                  const FlowRecord& record) {
  this->targets.FlowEnded(record.target);
  const auto partition = this->PartitionOf(flow, record.service);
  if (partition && this->IsLive(record, *partition)) {
    this->StateOf(*partition).Count(record.target, -1);
  }
}

void LocalState::SetState(common::Fingerprint flow, FlowRecord& record,
                          FlowState state) {
  record.state = state;
  this->table.Reschedule(flow, record, this->LimitsOf(record.service));
}

void LocalState::Expire(std::chrono::milliseconds now, std::size_t max_checks,
                        const FlowTable::Ended& ended) {
  this->table.Expire(
      now, max_checks,
      [this](common::ServiceId service) { return this->LimitsOf(service); },
      [this, &ended](common::Fingerprint flow, const FlowRecord& record) {
        ended(flow, record);
        this->RemoveFromCounts(flow, record);
      });
}

IdleLimits LocalState::LimitsOf(common::ServiceId service) const {
  const auto index = this->directory.Find(service);
  if (!index) {
    return {};  // The service was removed: its flows expire next.
  }
  const ServicePolicy& policy = this->directory.At(*index).policy;
  return {policy.syn_idle, policy.established_idle, policy.closing_idle};
}

TargetSlot LocalState::DefaultTarget(PartitionIndex partition) const {
  const PartitionSubset targets = this->subsets.At(partition);
  if (!targets.subset.empty()) {
    return targets.subset[0];
  }
  return targets.spill.empty() ? kNoSlot : targets.spill[0];
}

std::optional<PartitionIndex> LocalState::PartitionOf(
    common::Fingerprint flow, common::ServiceId service) const {
  const auto index = this->directory.Find(service);
  if (!index) {
    return std::nullopt;
  }
  return this->directory.PartitionOf(*index, flow);
}

}  // namespace sassafrasdyke::core

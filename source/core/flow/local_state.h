/// The state of one balancer: the maps derived from the configuration and the
/// fleet view, the flow table, and the partitions.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/fleet_view.h"
#include "core/flow/flow_table.h"
#include "core/flow/partition_state.h"
#include "core/placement/owner_map.h"
#include "core/placement/service_directory.h"
#include "core/placement/subset_map.h"
#include "core/placement/target_set.h"

namespace sassafrasdyke::core {

/// Holds this state and keeps its parts consistent. Shared by the packet path
/// and the exchange of copies; both run in one task, so there is no locking.
class LocalState {
 public:
  /// Applies a newer configuration and rebuilds all maps. Returns the targets
  /// that were removed or whose ids now denote another target.
  std::vector<common::TargetId> SetConfiguration(
      std::shared_ptr<const Configuration> configuration,
      std::chrono::milliseconds now);

  /// Applies a view of the fleet and rebuilds the owner map.
  void SetView(const FleetView& view);

  /// Whether there is both a configuration and a view.
  bool IsReady() const {
    return this->configuration != nullptr && !this->owners.Empty();
  }

  bool HasConfiguration() const { return this->configuration != nullptr; }

  /// The flow's record if it is live, or null. Erases a void record.
  FlowRecord* LiveRecord(common::Fingerprint flow, PartitionIndex partition);

  /// Whether a record belongs to the partition's service and to its current
  /// ownership epoch. Other records are void.
  bool IsLive(const FlowRecord& record, PartitionIndex partition) const;

  /// Inserts a record and updates the counts; null if the table has no room.
  FlowRecord* OpenFlow(common::Fingerprint flow, PartitionIndex partition,
                       FlowRecord record, Admission admission);

  /// Erases a record and updates the counts.
  void EndFlow(common::Fingerprint flow);

  /// Changes a record's state and reschedules its expiry.
  void SetState(common::Fingerprint flow, FlowRecord& record, FlowState state);

  /// Checks at most `max_checks` flows that are due and erases the idle ones,
  /// after calling `ended` for each.
  void Expire(std::chrono::milliseconds now, std::size_t max_checks,
              const FlowTable::Ended& ended);

  /// The target to presume for a partition by the configuration alone.
  TargetSlot DefaultTarget(PartitionIndex partition) const;

  /// The partition of a flow; empty if the configuration doesn't contain the
  /// service.
  std::optional<PartitionIndex> PartitionOf(common::Fingerprint flow,
                                            common::ServiceId service) const;

  PartitionState& StateOf(PartitionIndex partition) {
    return this->partitions[partition.value];
  }
  const PartitionState& StateOf(PartitionIndex partition) const {
    return this->partitions[partition.value];
  }

  /// Calls `visit` for every record, void ones included.
  void ForEachRecord(
      const std::function<void(common::Fingerprint, FlowRecord&)>& visit) {
    this->table.ForEach(visit);
  }

  bool HoldsLease() const { return this->owners.View().lease == Lease::kHeld; }

  const Configuration& CurrentConfiguration() const {
    return *this->configuration;
  }
  const ServiceDirectory& Directory() const { return this->directory; }
  const SubsetMap& Subsets() const { return this->subsets; }
  const OwnerMap& Owners() const { return this->owners; }
  const FlowTable& Table() const { return this->table; }
  TargetSet& Targets() { return this->targets; }
  const TargetSet& Targets() const { return this->targets; }
  const std::vector<PartitionState>& Partitions() const {
    return this->partitions;
  }

 private:
  IdleLimits LimitsOf(common::ServiceId service) const;
  void MovePartitions(const ServiceDirectory& before);
  void RemoveFromCounts(common::Fingerprint flow, const FlowRecord& record);
  void RebuildSubsets();
  void RebuildOwners();

  std::shared_ptr<const Configuration> configuration;
  ServiceDirectory directory;
  TargetSet targets;
  SubsetMap subsets;
  FleetView view;
  OwnerMap owners;
  FlowTable table;
  std::vector<PartitionState> partitions;
};

}  // namespace sassafrasdyke::core

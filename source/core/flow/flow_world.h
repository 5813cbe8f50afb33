/// Everything the flow side knows, with the few steps that keep its parts
/// consistent: the configuration's maps, the flows, and the partitions.
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

/// Shared by the packet path and the exchange of copies; both run in one task.
class FlowWorld {
 public:
  /// Takes a newer configuration and rebuilds all maps. Returns the lives of
  /// targets that ended with it.
  std::vector<common::TargetId> SetConfiguration(
      std::shared_ptr<const Configuration> configuration,
      std::chrono::milliseconds now);

  /// Takes a view of the fleet and rebuilds the owners.
  void SetView(const FleetView& view);

  /// Whether there is both a configuration and a view.
  bool IsReady() const {
    return this->configuration != nullptr && !this->owners.Empty();
  }

  bool HasConfiguration() const { return this->configuration != nullptr; }

  /// The flow's record if it counts: of this service, and of the partition's
  /// present tenure. A void one is erased.
  FlowRecord* LiveRecord(common::Fingerprint flow, PartitionIndex partition);

  /// Whether a record counts.
  bool IsLive(const FlowRecord& record, PartitionIndex partition) const;

  /// Inserts a record and counts it; null when the table is full.
  FlowRecord* OpenFlow(common::Fingerprint flow, PartitionIndex partition,
                       FlowRecord record, Admission admission);

  /// Erases a record and counts it out.
  void EndFlow(common::Fingerprint flow);

  /// Changes a record's state and the time it has left.
  void SetState(common::Fingerprint flow, FlowRecord& record, FlowState state);

  /// Erases the idle among the flows that are due, no more than `most` looks.
  void Expire(std::chrono::milliseconds now, std::size_t most,
              const FlowTable::Ended& ended);

  /// The default target of a partition, for lack of better knowledge.
  TargetSlot DefaultTarget(PartitionIndex partition) const;

  /// The partition of a flow of a service that is still published.
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

  const Configuration& InForce() const { return *this->configuration; }
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
  void CountOut(common::Fingerprint flow, const FlowRecord& record);
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

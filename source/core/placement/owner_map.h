/// Which instance decides about each partition.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/fleet_view.h"
#include "core/placement/service_directory.h"
#include "core/placement/subset_map.h"

namespace sassafrasdyke::core {

/// Who answers for a partition.
struct PartitionOwners {
  /// The first of the rendezvous order; 0 when no instance can own.
  common::InstanceId owner;
  /// The second: exactly who inherits when the owner goes. 0 when there is
  /// none.
  common::InstanceId standby;
  /// The home domain can't be reached; this one stands in.
  bool adopted{false};
};

/// Owner and standby of every partition, precomputed for one configuration and
/// one view of the fleet.
class OwnerMap {
 public:
  OwnerMap() = default;
  OwnerMap(const SubsetMap& subsets, std::size_t partitions, FleetView view);

  const PartitionOwners& At(PartitionIndex partition) const {
    return this->owners[partition.value];
  }
  bool Empty() const { return this->owners.empty(); }

  /// Looks an instance up in the view this map was made from.
  const InstanceView* Find(common::InstanceId id) const;

  /// Whether the instance is there and not confirmed silent.
  bool IsAnswering(common::InstanceId id) const;

  /// Who would own the partition in `domain` if this instance were not there.
  common::InstanceId NextBeside(std::uint64_t partition_hash,
                                common::DomainId domain) const;

  const FleetView& View() const { return this->view; }

 private:
  FleetView view;
  std::vector<PartitionOwners> owners;
};

}  // namespace sassafrasdyke::core

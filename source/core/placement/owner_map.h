/// Assigns an owner and a standby instance to each partition.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/fleet_view.h"
#include "core/placement/service_directory.h"
#include "core/placement/subset_map.h"

namespace sassafrasdyke::core {

/// The instances responsible for a partition.
struct PartitionOwners {
  /// The instance with the highest rendezvous hash; 0 when none can own.
  common::InstanceId owner;
  /// The second highest: the one that becomes the owner when the present owner
  /// goes. 0 when there is none.
  common::InstanceId standby;
  /// The home domain has no instance that can own; owner and standby belong to
  /// a substitute domain.
  bool adopted{false};
};

/// Owner and standby of every partition, precomputed for one configuration and
/// one fleet view.
class OwnerMap {
 public:
  OwnerMap() = default;
  OwnerMap(const SubsetMap& subsets, std::size_t partitions, FleetView view);

  const PartitionOwners& At(PartitionIndex partition) const {
    return this->owners[partition.value];
  }
  bool Empty() const { return this->owners.empty(); }

  /// Returns the instance's entry in the map's fleet view, null when it has
  /// none.
  const InstanceView* Find(common::InstanceId id) const;

  /// Whether the instance is listed, not suspected, and in a reachable domain.
  bool IsAnswering(common::InstanceId id) const;

  /// The instance of `domain` that would own the partition without this one; 0
  /// when there is none.
  common::InstanceId NextBeside(std::uint64_t partition_hash,
                                common::DomainId domain) const;

  /// The first `count` instances of `domain` in the partition's rendezvous
  /// order that answer and may decide about it, leaving ones included; without
  /// this instance.
  std::vector<common::InstanceId> Ranked(std::uint64_t partition_hash,
                                         common::DomainId domain,
                                         std::size_t count) const;

  const FleetView& View() const { return this->view; }

 private:
  FleetView view;
  std::vector<PartitionOwners> owners;
};

}  // namespace sassafrasdyke::core

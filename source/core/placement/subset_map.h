/// Assigns each partition the targets it may use (subsetting), from the
/// configuration alone.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/placement/service_directory.h"
#include "core/placement/target_set.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// The targets of one partition, most preferred first: the subset, then a
/// reserve in the home domain for when much of the subset can't serve, then
/// targets of other domains for when no target of the home domain can.
struct PartitionSubset {
  common::DomainId home;
  /// The domains that take over from the home while it has no instance that
  /// can own, in order of preference. Instances that reach each other agree on
  /// it.
  std::span<const common::DomainId> substitutes;
  std::span<const TargetSlot> subset;
  std::span<const TargetSlot> reserve;
  std::span<const TargetSlot> spill;
};

/// Precomputed subsets of all partitions. They don't depend on which instances
/// are alive, so that a change of instances changes no flow's default target.
class SubsetMap {
 public:
  SubsetMap() = default;

  /// `self` is this instance's failure domain: the home of every partition when
  /// the fabric scope is one domain.
  SubsetMap(const Configuration& configuration,
            const ServiceDirectory& directory, const TargetSet& targets,
            common::DomainId self);

  PartitionSubset At(PartitionIndex partition) const;

  /// The hash that identifies the partition in every choice on which instances
  /// must agree.
  std::uint64_t HashOf(PartitionIndex partition) const {
    return this->entries[partition.value].hash;
  }

 private:
  /// One partition's ranges of `domains` and `slots`.
  struct Entry {
    std::uint64_t hash{0};
    std::uint32_t first_domain{0};
    std::uint32_t domains{0};
    std::uint32_t first{0};
    std::uint32_t subset{0};
    std::uint32_t reserve{0};
    std::uint32_t spill{0};
  };

  std::vector<Entry> entries;
  std::vector<common::DomainId> domains;
  std::vector<TargetSlot> slots;
};

}  // namespace sassafrasdyke::core

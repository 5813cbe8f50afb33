/// Maps packets to services and partitions.
#pragma once

#include <tsl/robin_map.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "core/configuration.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Position of a service in the configuration's list.
using ServiceIndex = common::Id<struct ServiceIndexTag>;
/// Position of a partition among all partitions of all services. Valid for one
/// revision of the configuration; never leaves the process.
using PartitionIndex = common::Id<struct PartitionIndexTag>;

/// Hashes an address and a port.
struct EndpointHash {
  std::size_t operator()(const common::Endpoint& endpoint) const noexcept;
};

/// Indexes the services and partitions of one configuration.
class ServiceDirectory {
 public:
  ServiceDirectory() = default;
  explicit ServiceDirectory(std::shared_ptr<const Configuration> configuration);

  /// The service that listens at `address`.
  std::optional<ServiceIndex> Find(const common::Endpoint& address) const;

  /// The service whose id in the configuration is `id`.
  std::optional<ServiceIndex> Find(common::ServiceId id) const;

  const Service& At(ServiceIndex index) const {
    return this->configuration->services[index.value];
  }

  /// The partition of a flow of that service.
  PartitionIndex PartitionOf(ServiceIndex service,
                             common::Fingerprint flow) const;

  /// The partition `key`; nothing when the configuration has none.
  std::optional<PartitionIndex> Find(const PartitionKey& key) const;
  const PartitionKey& KeyOf(PartitionIndex index) const {
    return this->keys[index.value];
  }
  ServiceIndex ServiceOf(PartitionIndex index) const {
    return this->service_by_partition[index.value];
  }
  std::size_t PartitionCount() const { return this->keys.size(); }

 private:
  std::shared_ptr<const Configuration> configuration;
  tsl::robin_map<common::Endpoint, ServiceIndex, EndpointHash> by_address;
  tsl::robin_map<common::ServiceId, ServiceIndex> by_id;
  /// The index of each service's first partition.
  std::vector<std::uint32_t> first_partition;
  std::vector<PartitionKey> keys;
  std::vector<ServiceIndex> service_by_partition;
};

}  // namespace sassafrasdyke::core

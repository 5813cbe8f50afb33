/// Finds the service and the partition of a packet.
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

/// Hashes an address and a port with the project's hash.
struct EndpointHash {
  std::size_t operator()(const common::Endpoint& endpoint) const noexcept;
};

/// The services of one configuration, by address and by position.
class ServiceDirectory {
 public:
  ServiceDirectory() = default;
  explicit ServiceDirectory(std::shared_ptr<const Configuration> configuration);

  /// The service that callers reach at `address`.
  std::optional<ServiceIndex> Find(const common::Endpoint& address) const;

  /// The service with the published number `id`.
  std::optional<ServiceIndex> Find(common::ServiceId id) const;

  const Service& At(ServiceIndex index) const {
    return this->configuration->services[index.value];
  }

  /// The partition of a flow of that service.
  PartitionIndex PartitionOf(ServiceIndex service,
                             common::Fingerprint flow) const;

  std::optional<PartitionIndex> Find(const PartitionKey& key) const;
  const PartitionKey& KeyOf(PartitionIndex index) const {
    return this->keys[index.value];
  }
  ServiceIndex ServiceOf(PartitionIndex index) const {
    return this->services_of[index.value];
  }
  std::size_t PartitionCount() const { return this->keys.size(); }

 private:
  std::shared_ptr<const Configuration> configuration;
  tsl::robin_map<common::Endpoint, ServiceIndex, EndpointHash> by_address;
  tsl::robin_map<common::ServiceId, ServiceIndex> by_id;
  /// The first partition of each service.
  std::vector<std::uint32_t> first_partition;
  std::vector<PartitionKey> keys;
  std::vector<ServiceIndex> services_of;
};

}  // namespace sassafrasdyke::core

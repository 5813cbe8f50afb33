#include "core/placement/service_directory.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr unsigned kHalfBits = 32;

std::uint32_t PartitionCountOf(const Service& service) {
  return std::max<std::uint32_t>(1, service.policy.partitions);
}

}  // namespace

std::size_t EndpointHash::operator()(
    const common::Endpoint& endpoint) const noexcept {
  const common::IpAddress::Bytes& raw = endpoint.address.Raw();
  return static_cast<std::size_t>(
      common::HashBytes(raw.data(), raw.size(), endpoint.port));
}

ServiceDirectory::ServiceDirectory(
    std::shared_ptr<const Configuration> configuration)
    : configuration(std::move(configuration)) {
  const std::vector<Service>& services = this->configuration->services;
  for (std::uint32_t i = 0; i < services.size(); ++i) {
    const Service& service = services[i];
    this->by_address[service.address] = ServiceIndex{i};
    this->by_id[service.id] = ServiceIndex{i};
    this->first_partition.push_back(
        static_cast<std::uint32_t>(this->keys.size()));
    for (std::uint32_t number = 0; number < PartitionCountOf(service);
         ++number) {
      this->keys.push_back({service.id, common::PartitionNumber{number}});
      this->service_by_partition.push_back(ServiceIndex{i});
    }
  }
}

std::optional<ServiceIndex> ServiceDirectory::Find(
    const common::Endpoint& address) const {
  const auto found = this->by_address.find(address);
  if (found == this->by_address.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<ServiceIndex> ServiceDirectory::Find(common::ServiceId id) const {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) {
    return std::nullopt;
  }
  return found->second;
}

PartitionIndex ServiceDirectory::PartitionOf(ServiceIndex service,
                                             common::Fingerprint flow) const {
  // The upper half of the fingerprint selects the partition, so that the lower
  // half still spreads one partition's flows over the flow table's buckets.
  const std::uint64_t upper = flow.value >> kHalfBits;
  const std::uint64_t number =
      (upper * PartitionCountOf(this->At(service))) >> kHalfBits;
  return PartitionIndex{this->first_partition[service.value] +
                        static_cast<std::uint32_t>(number)};
}

std::optional<PartitionIndex> ServiceDirectory::Find(
    const PartitionKey& key) const {
  const std::optional<ServiceIndex> service = this->Find(key.service);
  if (!service || key.partition.value >= PartitionCountOf(this->At(*service))) {
    return std::nullopt;
  }
  return PartitionIndex{this->first_partition[service->value] +
                        key.partition.value};
}

}  // namespace sassafrasdyke::core

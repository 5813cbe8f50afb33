#include "core/placement/owner_map.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kInstanceSalt = 0x696E7374616E6365ULL;

std::uint64_t RendezvousHash(std::uint64_t partition_hash,
                             common::InstanceId id) {
  return common::HashNumbers(partition_hash, id.value, kInstanceSalt);
}

/// The candidates with the highest and second highest rendezvous hash; 0 where
/// there is none.
struct TopTwo {
  common::InstanceId first;
  common::InstanceId second;
};

TopTwo FindTopTwo(const std::vector<common::InstanceId>& candidates,
                  std::uint64_t partition_hash) {
  TopTwo top;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (const common::InstanceId id : candidates) {
    const std::uint64_t hash = RendezvousHash(partition_hash, id);
    if (top.first.value == 0 || hash > first) {
      second = first;
      top.second = top.first;
      first = hash;
      top.first = id;
    } else if (top.second.value == 0 || hash > second) {
      second = hash;
      top.second = id;
    }
  }
  return top;
}

/// The owner candidates of each reachable domain. A domain without an instance
/// that may own falls back to its leaving ones: no other would serve there.
class OwnerCandidates {
 public:
  explicit OwnerCandidates(const FleetView& view) {
    for (const InstanceView& instance : view.instances) {
      Instances& instances = this->by_domain[instance.domain];
      if (instance.use == InstanceUse::kOwner) {
        instances.owners.push_back(instance.id);
      } else if (instance.use == InstanceUse::kLeaving) {
        instances.leaving.push_back(instance.id);
      }
    }
    for (const common::DomainId domain : view.unreachable) {
      if (domain != view.domain) {
        this->by_domain.erase(domain);
      }
    }
  }

  const std::vector<common::InstanceId>& InDomain(
      common::DomainId domain) const {
    static const std::vector<common::InstanceId> none;
    const auto found = this->by_domain.find(domain);
    if (found == this->by_domain.end()) {
      return none;
    }
    const Instances& instances = found->second;
    return instances.owners.empty() ? instances.leaving : instances.owners;
  }

 private:
  struct Instances {
    std::vector<common::InstanceId> owners;
    std::vector<common::InstanceId> leaving;
  };
  std::map<common::DomainId, Instances> by_domain;
};

}  // namespace

OwnerMap::OwnerMap(const SubsetMap& subsets, std::size_t partitions,
                   FleetView view)
    : view(std::move(view)) {
  const OwnerCandidates candidates_by_domain(this->view);
  this->owners.reserve(partitions);
  for (std::uint32_t i = 0; i < partitions; ++i) {
    const PartitionIndex partition{i};
    const PartitionSubset targets = subsets.At(partition);
    const std::vector<common::InstanceId>* candidates =
        &candidates_by_domain.InDomain(targets.home);
    const bool adopted = candidates->empty();
    for (const common::DomainId substitute : targets.substitutes) {
      candidates = candidates->empty()
                       ? &candidates_by_domain.InDomain(substitute)
                       : candidates;
    }
    const auto [first, second] =
        FindTopTwo(*candidates, subsets.HashOf(partition));
    this->owners.push_back({first, second, adopted});
  }
}

const InstanceView* OwnerMap::Find(common::InstanceId id) const {
  const auto found = std::lower_bound(
      this->view.instances.begin(), this->view.instances.end(), id,
      [](const InstanceView& instance, common::InstanceId wanted) {
        return instance.id < wanted;
      });
  if (found == this->view.instances.end() || found->id != id) {
    return nullptr;
  }
  return &*found;
}

bool OwnerMap::IsAnswering(common::InstanceId id) const {
  const InstanceView* const instance = this->Find(id);
  if (instance == nullptr || instance->use == InstanceUse::kSuspected) {
    return false;
  }
  const auto& unreachable = this->view.unreachable;
  return std::find(unreachable.begin(), unreachable.end(), instance->domain) ==
         unreachable.end();
}

std::vector<common::InstanceId> OwnerMap::Ranked(std::uint64_t partition_hash,
                                                 common::DomainId domain,
                                                 std::size_t count) const {
  std::vector<std::pair<std::uint64_t, common::InstanceId>> ranked;
  for (const InstanceView& instance : this->view.instances) {
    if (instance.domain == domain && instance.id != this->view.self &&
        this->IsAnswering(instance.id)) {
      ranked.emplace_back(RendezvousHash(partition_hash, instance.id),
                          instance.id);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<common::InstanceId> ids;
  for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    ids.push_back(ranked[i].second);
  }
  return ids;
}

common::InstanceId OwnerMap::NextBeside(std::uint64_t partition_hash,
                                        common::DomainId domain) const {
  std::vector<common::InstanceId> owners;
  std::vector<common::InstanceId> leaving;
  for (const InstanceView& instance : this->view.instances) {
    if (instance.domain != domain || instance.id == this->view.self) {
      continue;
    }
    if (instance.use == InstanceUse::kOwner) {
      owners.push_back(instance.id);
    } else if (instance.use == InstanceUse::kLeaving) {
      leaving.push_back(instance.id);
    }
  }
  return FindTopTwo(owners.empty() ? leaving : owners, partition_hash).first;
}

}  // namespace sassafrasdyke::core

#include "core/placement/owner_map.h"

#include <algorithm>
#include <map>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kInstanceSalt = 0x696E7374616E6365ULL;

struct Ranked {
  common::InstanceId first;
  common::InstanceId second;
};

Ranked FirstTwo(const std::vector<common::InstanceId>& candidates,
                std::uint64_t partition_hash) {
  Ranked ranked;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (const common::InstanceId id : candidates) {
    const std::uint64_t hash =
        common::HashNumbers(partition_hash, id.value, kInstanceSalt);
    if (ranked.first.value == 0 || hash > first) {
      second = first;
      ranked.second = ranked.first;
      first = hash;
      ranked.first = id;
    } else if (ranked.second.value == 0 || hash > second) {
      second = hash;
      ranked.second = id;
    }
  }
  return ranked;
}

/// The instances of a domain that may own; when none may, those that are
/// leaving go on serving, since nobody else will.
class DomainMembers {
 public:
  explicit DomainMembers(const FleetView& view) {
    for (const InstanceView& instance : view.instances) {
      Members& members = this->by_domain[instance.domain];
      if (instance.use == InstanceUse::kOwner) {
        members.owners.push_back(instance.id);
      } else if (instance.use == InstanceUse::kLeaving) {
        members.leaving.push_back(instance.id);
      }
    }
    for (const common::DomainId domain : view.unreachable) {
      if (domain != view.domain) {
        this->by_domain.erase(domain);
      }
    }
  }

  const std::vector<common::InstanceId>& Candidates(
      common::DomainId domain) const {
    static const std::vector<common::InstanceId> none;
    const auto found = this->by_domain.find(domain);
    if (found == this->by_domain.end()) {
      return none;
    }
    const Members& members = found->second;
    return members.owners.empty() ? members.leaving : members.owners;
  }

 private:
  struct Members {
    std::vector<common::InstanceId> owners;
    std::vector<common::InstanceId> leaving;
  };
  std::map<common::DomainId, Members> by_domain;
};

}  // namespace

OwnerMap::OwnerMap(const SubsetMap& subsets, std::size_t partitions,
                   FleetView view)
    : view(std::move(view)) {
  const DomainMembers members(this->view);
  this->owners.reserve(partitions);
  for (std::uint32_t i = 0; i < partitions; ++i) {
    const PartitionIndex partition{i};
    const PartitionSubset targets = subsets.At(partition);
    const std::vector<common::InstanceId>* candidates =
        &members.Candidates(targets.home);
    const bool adopted = candidates->empty();
    for (const common::DomainId substitute : targets.substitutes) {
      candidates =
          candidates->empty() ? &members.Candidates(substitute) : candidates;
    }
    const auto [first, second] =
        FirstTwo(*candidates, subsets.HashOf(partition));
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
  const auto& cut = this->view.unreachable;
  return std::find(cut.begin(), cut.end(), instance->domain) == cut.end();
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
  return FirstTwo(owners.empty() ? leaving : owners, partition_hash).first;
}

}  // namespace sassafrasdyke::core

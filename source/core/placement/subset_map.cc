#include "core/placement/subset_map.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

/// Keeps the choice of a domain apart from the choice of an instance.
constexpr std::uint64_t kDomainSalt = 0x646F6D61696EULL;
constexpr std::uint64_t kTargetSalt = 0x746172676574ULL;
constexpr std::uint32_t kLeastSubset = 4;
constexpr std::uint32_t kMostSubset = 16;
/// Subsets in which each target should at least appear.
constexpr std::size_t kCoverage = 4;

struct Candidate {
  TargetSlot slot;
  common::TargetId id;
  common::DomainId domain;
  double weight{0};
  bool serving{false};
};

struct Scored {
  double score{0};
  const Candidate* candidate{nullptr};
};

/// How often a target was used so far, against what is fair.
struct Coverage {
  double fair_firsts{0};
  double fair_total{0};
  double firsts{0};
  double total{0};
};

using Candidates = std::vector<Candidate>;
using CoverageBySlot = std::map<TargetSlot, Coverage>;

/// Candidates by falling score, equal scores by id.
std::vector<Scored> Rank(const std::vector<const Candidate*>& candidates,
                         std::uint64_t partition_hash) {
  std::vector<Scored> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate* const candidate : candidates) {
    const std::uint64_t hash =
        common::HashNumbers(partition_hash, candidate->id.value, kTargetSalt);
    ranked.push_back(
        {common::RendezvousScore(hash, candidate->weight), candidate});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Scored& a, const Scored& b) {
    return a.score != b.score ? a.score > b.score
                              : a.candidate->id < b.candidate->id;
  });
  return ranked;
}

std::size_t SubsetSize(const ServicePolicy& policy, std::size_t targets) {
  if (policy.subset_size > 0) {
    return std::min<std::size_t>(policy.subset_size, targets);
  }
  const std::size_t partitions = std::max<std::size_t>(1, policy.partitions);
  const std::size_t derived =
      (kCoverage * targets + partitions - 1) / partitions;
  const auto bounded =
      std::clamp<std::size_t>(derived, kLeastSubset, kMostSubset);
  return std::min(bounded, targets);
}

/// All domains, best home of the partition first. Those without targets of the
/// service (capacity 0) come last: their instances stand in only when the
/// domains that serve it have nobody left.
std::vector<common::DomainId> RankDomains(
    const std::map<common::DomainId, double>& capacities,
    std::uint64_t partition_hash) {
  std::vector<std::pair<double, common::DomainId>> scored;
  for (const auto& [domain, capacity] : capacities) {
    const std::uint64_t hash =
        common::HashNumbers(partition_hash, domain.value, kDomainSalt);
    scored.emplace_back(common::RendezvousScore(hash, capacity), domain);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<common::DomainId> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, domain] : scored) {
    ranked.push_back(domain);
  }
  return ranked;
}

/// Moves targets that are used more than is fair behind the others. Plain
/// hashing over few partitions leaves some targets first in three partitions
/// and others in none; their load differs as much, however well an owner
/// chooses inside its subset.
void EvenOut(std::vector<Scored>& ranked, std::size_t size,
             CoverageBySlot& coverage) {
  const auto first = std::find_if(
      ranked.begin(), ranked.end(), [&coverage](const Scored& scored) {
        const Coverage& used = coverage[scored.candidate->slot];
        return used.firsts + 1.0 <= std::ceil(used.fair_firsts);
      });
  if (first != ranked.end()) {
    std::rotate(ranked.begin(), first, first + 1);
  }
  if (ranked.size() > size) {
    std::stable_partition(
        ranked.begin() + 1, ranked.end(), [&coverage](const Scored& scored) {
          const Coverage& used = coverage[scored.candidate->slot];
          return used.total + 1.0 <= std::ceil(used.fair_total);
        });
  }
  for (std::size_t i = 0; i < std::min(size, ranked.size()); ++i) {
    Coverage& used = coverage[ranked[i].candidate->slot];
    used.firsts += i == 0 ? 1.0 : 0.0;
    used.total += 1.0;
  }
}

/// All published targets of one service, with what the rows below need.
struct ServiceTargets {
  Candidates all;
  std::map<common::DomainId, double> capacities;

  std::vector<const Candidate*> Serving(common::DomainId home,
                                        bool inside) const {
    std::vector<const Candidate*> chosen;
    for (const Candidate& candidate : this->all) {
      if (candidate.serving && (candidate.domain == home) == inside) {
        chosen.push_back(&candidate);
      }
    }
    return chosen;
  }
};

/// The best targets of each other domain, so that whoever stands in for the
/// home finds some that it can reach.
std::vector<Scored> Outside(const ServiceTargets& group, common::DomainId home,
                            std::uint64_t partition_hash,
                            std::size_t most_per_domain) {
  std::vector<Scored> chosen;
  std::map<common::DomainId, std::size_t> counts;
  for (const Scored& scored :
       Rank(group.Serving(home, false), partition_hash)) {
    if (++counts[scored.candidate->domain] <= most_per_domain) {
      chosen.push_back(scored);
    }
  }
  return chosen;
}

std::map<common::ServiceId, ServiceTargets> GroupByService(
    const Configuration& configuration, const TargetSet& targets) {
  std::map<common::ServiceId, ServiceTargets> groups;
  for (const Target& target : configuration.targets) {
    const std::optional<TargetSlot> slot = targets.Find(target.id);
    if (!slot || target.weight == 0) {
      continue;
    }
    ServiceTargets& group = groups[target.service];
    const double weight = target.weight;
    // Draining targets count here: else a drain of a whole domain would move
    // its partitions, and with them the owner of the flows that still run.
    group.capacities[target.domain] += weight;
    group.all.push_back({*slot, target.id, target.domain, weight,
                         target.state == TargetState::kServing});
  }
  for (auto& [service, group] : groups) {
    for (const Domain& domain : configuration.domains) {
      group.capacities.try_emplace(domain.id, 0.0);
    }
  }
  return groups;
}

}  // namespace

SubsetMap::SubsetMap(const Configuration& configuration,
                     const ServiceDirectory& directory,
                     const TargetSet& targets, common::DomainId self) {
  const auto groups = GroupByService(configuration, targets);
  const bool fleet_wide =
      configuration.policy.fabric_scope == FabricScope::kFleet;
  this->entries.resize(directory.PartitionCount());
  std::map<common::ServiceId, std::map<common::DomainId, double>> homes;
  for (std::uint32_t i = 0; i < this->entries.size(); ++i) {
    const PartitionKey& key = directory.KeyOf(PartitionIndex{i});
    Entry& entry = this->entries[i];
    entry.hash = common::HashNumbers(key.service.value, key.partition.value,
                                     configuration.hash_seed);
    const auto group = groups.find(key.service);
    const bool spread = fleet_wide && group != groups.end();
    const std::vector<common::DomainId> ranked =
        spread ? RankDomains(group->second.capacities, entry.hash)
               : std::vector{self};
    entry.first_domain = static_cast<std::uint32_t>(this->domains.size());
    entry.domains = static_cast<std::uint32_t>(ranked.size());
    this->domains.insert(this->domains.end(), ranked.begin(), ranked.end());
    homes[key.service][ranked.front()] += 1.0;
  }

  std::map<common::ServiceId, CoverageBySlot> coverages;
  for (const auto& [service, group] : groups) {
    for (const auto& [home, partitions] : homes[service]) {
      const auto inside = group.Serving(home, true);
      double total = 0;
      for (const Candidate* const candidate : inside) {
        total += candidate->weight;
      }
      const std::optional<ServiceIndex> index = directory.Find(service);
      if (!index) {
        continue;
      }
      const auto size = static_cast<double>(
          SubsetSize(directory.At(*index).policy, inside.size()));
      for (const Candidate* const candidate : inside) {
        const double share = candidate->weight / total;
        coverages[service][candidate->slot] = {share * partitions,
                                               share * partitions * size};
      }
    }
  }

  for (std::uint32_t i = 0; i < this->entries.size(); ++i) {
    const PartitionIndex partition{i};
    Entry& entry = this->entries[i];
    entry.first = static_cast<std::uint32_t>(this->slots.size());
    const Service& service = directory.At(directory.ServiceOf(partition));
    const common::DomainId home = this->domains[entry.first_domain];
    const auto group = groups.find(service.id);
    if (group == groups.end()) {
      continue;
    }
    auto inside = Rank(group->second.Serving(home, true), entry.hash);
    const std::size_t size = SubsetSize(service.policy, inside.size());
    EvenOut(inside, size, coverages[service.id]);
    const std::vector<Scored> outside =
        service.policy.spill
            ? Outside(group->second, home, entry.hash,
                      std::max<std::size_t>(size, kLeastSubset))
            : std::vector<Scored>{};
    entry.subset = static_cast<std::uint32_t>(size);
    entry.reserve =
        static_cast<std::uint32_t>(std::min(inside.size(), 2 * size) - size);
    entry.spill = static_cast<std::uint32_t>(outside.size());
    for (std::size_t k = 0; k < entry.subset + entry.reserve; ++k) {
      this->slots.push_back(inside[k].candidate->slot);
    }
    for (const Scored& scored : outside) {
      this->slots.push_back(scored.candidate->slot);
    }
  }
}

PartitionSubset SubsetMap::At(PartitionIndex partition) const {
  const Entry& entry = this->entries[partition.value];
  const std::span<const TargetSlot> all(this->slots);
  const auto mine =
      all.subspan(entry.first, entry.subset + entry.reserve + entry.spill);
  const std::span<const common::DomainId> ranked =
      std::span(this->domains).subspan(entry.first_domain, entry.domains);
  return {ranked.front(), ranked.subspan(1), mine.first(entry.subset),
          mine.subspan(entry.subset, entry.reserve), mine.last(entry.spill)};
}

}  // namespace sassafrasdyke::core

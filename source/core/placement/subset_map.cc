#include "core/placement/subset_map.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

/// `kDomainSalt`, `kTargetSalt` and `kInstanceSalt` (in owner_map.cc) differ,
/// so that the choices of a domain, of a target and of an instance are
/// independent of each other.
constexpr std::uint64_t kDomainSalt = 0x646F6D61696EULL;
constexpr std::uint64_t kTargetSalt = 0x746172676574ULL;
constexpr std::uint32_t kMinSubsetSize = 4;
constexpr std::uint32_t kMaxSubsetSize = 16;
/// Subsets in which each target should appear at least.
constexpr std::size_t kMinSubsetsPerTarget = 4;

struct Candidate {
  TargetSlot slot;
  common::TargetId id;
  common::DomainId domain;
  double weight{0};
  bool serving{false};
};

struct ScoredCandidate {
  double score{0};
  const Candidate* candidate{nullptr};
};

/// How many subsets a target has been put into so far, and its fair share by
/// weight: in first place, and in any place.
struct TargetUsage {
  double fair_first_places{0};
  double fair_places{0};
  double first_places{0};
  double places{0};
};

using Candidates = std::vector<Candidate>;
using UsageBySlot = std::map<TargetSlot, TargetUsage>;

/// Candidates in descending order of score; ties are broken by id.
std::vector<ScoredCandidate> Rank(
    const std::vector<const Candidate*>& candidates,
    std::uint64_t partition_hash) {
  std::vector<ScoredCandidate> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate* const candidate : candidates) {
    const std::uint64_t hash =
        common::HashNumbers(partition_hash, candidate->id.value, kTargetSalt);
    ranked.push_back(
        {common::RendezvousScore(hash, candidate->weight), candidate});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const ScoredCandidate& a, const ScoredCandidate& b) {
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
      (kMinSubsetsPerTarget * targets + partitions - 1) / partitions;
  const auto bounded =
      std::clamp<std::size_t>(derived, kMinSubsetSize, kMaxSubsetSize);
  return std::min(bounded, targets);
}

/// All domains, the best home of the partition first. Those without targets of
/// the service (capacity 0) come last: their instances take over only when no
/// domain with targets has an instance left.
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

/// Moves targets that already have their fair share of subsets behind the
/// others. Plain rendezvous hashing over few partitions puts some targets first
/// in three partitions and others in none; their load differs as much, however
/// well an owner chooses inside its subset.
void BalanceSubsets(std::vector<ScoredCandidate>& ranked, std::size_t size,
                    UsageBySlot& usage_by_slot) {
  const auto first = std::find_if(
      ranked.begin(), ranked.end(),
      [&usage_by_slot](const ScoredCandidate& scored) {
        const TargetUsage& usage = usage_by_slot[scored.candidate->slot];
        return usage.first_places + 1.0 <= std::ceil(usage.fair_first_places);
      });
  if (first != ranked.end()) {
    std::rotate(ranked.begin(), first, first + 1);
  }
  if (ranked.size() > size) {
    std::stable_partition(
        ranked.begin() + 1, ranked.end(),
        [&usage_by_slot](const ScoredCandidate& scored) {
          const TargetUsage& usage = usage_by_slot[scored.candidate->slot];
          return usage.places + 1.0 <= std::ceil(usage.fair_places);
        });
  }
  for (std::size_t i = 0; i < std::min(size, ranked.size()); ++i) {
    TargetUsage& usage = usage_by_slot[ranked[i].candidate->slot];
    usage.first_places += i == 0 ? 1.0 : 0.0;
    usage.places += 1.0;
  }
}

/// All published targets of one service, and its total weight in each domain.
struct ServiceTargets {
  Candidates all;
  std::map<common::DomainId, double> capacities;

  /// The serving targets of the home domain, or those of all others.
  std::vector<const Candidate*> Serving(common::DomainId home,
                                        bool in_home) const {
    std::vector<const Candidate*> chosen;
    for (const Candidate& candidate : this->all) {
      if (candidate.serving && (candidate.domain == home) == in_home) {
        chosen.push_back(&candidate);
      }
    }
    return chosen;
  }
};

/// The best targets of each other domain, so that an owner in a substitute
/// domain has some that it can reach.
std::vector<ScoredCandidate> RankSpillTargets(const ServiceTargets& group,
                                              common::DomainId home,
                                              std::uint64_t partition_hash,
                                              std::size_t max_per_domain) {
  std::vector<ScoredCandidate> chosen;
  std::map<common::DomainId, std::size_t> counts;
  for (const ScoredCandidate& scored :
       Rank(group.Serving(home, false), partition_hash)) {
    if (++counts[scored.candidate->domain] <= max_per_domain) {
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
    // Draining targets count too: otherwise draining a whole domain would
    // change the home of its partitions, and with it the owner of flows that
    // are still open.
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
    const bool ranks_domains = fleet_wide && group != groups.end();
    const std::vector<common::DomainId> ranked =
        ranks_domains ? RankDomains(group->second.capacities, entry.hash)
                      : std::vector{self};
    entry.first_domain = static_cast<std::uint32_t>(this->domains.size());
    entry.domains = static_cast<std::uint32_t>(ranked.size());
    this->domains.insert(this->domains.end(), ranked.begin(), ranked.end());
    homes[key.service][ranked.front()] += 1.0;
  }

  std::map<common::ServiceId, UsageBySlot> usage_by_service;
  for (const auto& [service, group] : groups) {
    for (const auto& [home, partitions] : homes[service]) {
      const auto home_targets = group.Serving(home, true);
      double total_weight = 0;
      for (const Candidate* const candidate : home_targets) {
        total_weight += candidate->weight;
      }
      const std::optional<ServiceIndex> index = directory.Find(service);
      if (!index) {
        continue;
      }
      const auto size = static_cast<double>(
          SubsetSize(directory.At(*index).policy, home_targets.size()));
      for (const Candidate* const candidate : home_targets) {
        const double share = candidate->weight / total_weight;
        usage_by_service[service][candidate->slot] = {
            share * partitions, share * partitions * size};
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
    auto home_targets = Rank(group->second.Serving(home, true), entry.hash);
    const std::size_t size = SubsetSize(service.policy, home_targets.size());
    BalanceSubsets(home_targets, size, usage_by_service[service.id]);
    const std::vector<ScoredCandidate> spill_targets =
        service.policy.spill
            ? RankSpillTargets(group->second, home, entry.hash,
                               std::max<std::size_t>(size, kMinSubsetSize))
            : std::vector<ScoredCandidate>{};
    entry.subset = static_cast<std::uint32_t>(size);
    entry.reserve = static_cast<std::uint32_t>(
        std::min(home_targets.size(), 2 * size) - size);
    entry.spill = static_cast<std::uint32_t>(spill_targets.size());
    for (std::size_t k = 0; k < entry.subset + entry.reserve; ++k) {
      this->slots.push_back(home_targets[k].candidate->slot);
    }
    for (const ScoredCandidate& scored : spill_targets) {
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

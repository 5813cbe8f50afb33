#include "core/fleet/peer_plan.h"

#include <algorithm>
#include <map>

#include "core/fleet/rendezvous.h"

namespace sassafrasdyke::core {
namespace {

using Ids = std::vector<common::InstanceId>;
using IdsByDomain = std::map<common::DomainId, Ids>;

/// The owners of each domain; all its instances where none is an owner, because
/// one of them may still answer.
IdsByDomain UsableByDomain(const std::vector<InstanceView>& members) {
  IdsByDomain owners;
  IdsByDomain all;
  for (const InstanceView& member : members) {
    all[member.domain].push_back(member.id);
    if (member.use == InstanceUse::kOwner) {
      owners[member.domain].push_back(member.id);
    }
  }
  for (auto& [domain, ids] : all) {
    if (owners[domain].empty()) {
      owners[domain] = std::move(ids);
    }
  }
  return owners;
}

/// A key for a pair of domains, the same in both directions.
std::uint64_t PairKey(common::DomainId left, common::DomainId right) {
  constexpr unsigned kHalf = 32;
  const std::uint64_t low = std::min(left.value, right.value);
  const std::uint64_t high = std::max(left.value, right.value);
  return (high << kHalf) | low;
}

bool Contains(const Ids& ids, common::InstanceId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Partners of the link with `rank`, rotated by `rank` so that the domain's
/// links start with different partners.
Ids PartnersFrom(const Ids& usable, std::uint64_t pair, std::size_t rank) {
  Ids partners = Choose(usable, ChosenRole::kLink, pair, usable.size());
  const std::size_t first = rank % partners.size();
  std::rotate(partners.begin(),
              partners.begin() + static_cast<std::ptrdiff_t>(first),
              partners.end());
  return partners;
}

void AddWatched(const SelfIdentity& self,
                const std::vector<InstanceView>& members, const Ids& usable,
                std::size_t watchers, PeerPlan& plan) {
  for (const InstanceView& member : members) {
    if (member.domain == self.domain && member.id != self.id &&
        IsChosen(self.id, usable, member.id, ChosenRole::kWatcher,
                 member.id.value, watchers)) {
      plan.watched.push_back(member.id);
    }
  }
}

/// Some instances are chosen to watch few or no peers. With no answers to renew
/// their leases they would all fall back on reading the platform, so they also
/// send heartbeats to their own watchers.
void AddWatchers(const SelfIdentity& self, const Ids& usable,
                 std::size_t watchers, PeerPlan& plan) {
  Ids others = usable;
  std::erase(others, self.id);
  plan.watchers = Choose(others, ChosenRole::kWatcher, self.id.value, watchers);
  for (const common::InstanceId id : plan.watchers) {
    if (plan.watched.size() + plan.extra_peers.size() < kMinHeartbeatPeers &&
        !Contains(plan.watched, id)) {
      plan.extra_peers.push_back(id);
    }
  }
}

void AddLinks(const SelfIdentity& self, const IdsByDomain& usable,
              PeerPlan& plan) {
  const Ids& own = usable.at(self.domain);
  for (const auto& [domain, ids] : usable) {
    if (domain == self.domain) {
      continue;
    }
    const std::uint64_t pair = PairKey(self.domain, domain);
    const Ids holders = Choose(own, ChosenRole::kLink, pair, kLinksPerDomain);
    plan.link_holders.emplace_back(domain, holders);
    const auto rank = std::find(holders.begin(), holders.end(), self.id);
    if (rank != holders.end()) {
      const auto number = static_cast<std::size_t>(rank - holders.begin());
      plan.links.push_back({domain, PartnersFrom(ids, pair, number)});
    }
  }
}

}  // namespace

std::vector<common::InstanceId> PeerPlan::RelayPeers() const {
  std::vector<common::InstanceId> peers = this->watched;
  peers.insert(peers.end(), this->extra_peers.begin(), this->extra_peers.end());
  return peers;
}

PeerPlan MakePeerPlan(const SelfIdentity& self,
                      const std::vector<InstanceView>& members,
                      const FleetPolicy& policy) {
  PeerPlan plan;
  const IdsByDomain usable = UsableByDomain(members);
  const Ids& own = usable.at(self.domain);
  plan.reader = Contains(Choose(own, ChosenRole::kReader, self.domain.value,
                                policy.readers_per_domain),
                         self.id);
  if (Contains(own, self.id)) {
    AddWatched(self, members, own, policy.watchers, plan);
  }
  AddWatchers(self, own, policy.watchers, plan);
  AddLinks(self, usable, plan);
  return plan;
}

}  // namespace sassafrasdyke::core

#include "core/view/target_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kWordSalt = 0x776F7264ULL;

/// Whether `write` was made before `known` was, and applied after it: earlier
/// in the same life of the target, or in a former one.
bool IsOutdated(const PublishedTarget& write, const PublishedTarget& known) {
  if (!write.started_at || !known.started_at) {
    return false;
  }
  return write.started_at == known.started_at
             ? write.sequence < known.sequence
             : *known.started_at - *write.started_at > kMaxClockDifference;
}

}  // namespace

TargetWord WordFor(TargetNumber number) {
  // A number that fits into a word is used as it is. That keeps logs readable,
  // and two such numbers can't collide. Larger ones are hashed.
  if (number.value != 0 && number.value <= UINT32_MAX) {
    return {static_cast<std::uint32_t>(number.value)};
  }
  const std::uint64_t hash = common::HashNumbers(number.value, 0, kWordSalt);
  const auto word = static_cast<std::uint32_t>(hash);
  return {word == 0 ? 1 : word};
}

std::string_view Word(TargetPhase phase) {
  switch (phase) {
    case TargetPhase::kServing:
      return "serving";
    case TargetPhase::kDraining:
      return "draining";
    case TargetPhase::kUnreadable:
      return "unreadable";
    case TargetPhase::kShadowed:
      return "shadowed";
    case TargetPhase::kGone:
      return "gone";
  }
  return "unknown";
}

void TargetTable::Publish(const std::string& name,
                          const PublishedTarget& target,
                          std::chrono::milliseconds now) {
  const TargetIndex index = this->IndexFor(name, target, now);
  TargetEntry& entry = this->entries.at(index);
  // Must come before the entry changes: the lists are found by its old service,
  // domain and address.
  this->RemoveFromServing(index, entry);
  this->ReleaseAddress(index);
  const common::Endpoint before = entry.published.address;
  if (IsOutdated(target, entry.published)) {
    // The state that it replaced is the target's last.
    entry.published.revision = target.revision;
  } else {
    entry.published = target;
  }
  this->last_cold_until =
      std::max(this->last_cold_until, entry.published.cold_until);
  entry.listed = true;
  entry.readable = true;
  entry.removal_effective_at.reset();
  this->ClaimAddress(index);
  this->ResolveAddress(entry.published.address, now);
  if (before != entry.published.address) {
    this->ResolveAddress(before, now);
  }
}

AddressClaim TargetTable::ClaimOf(TargetIndex index) const {
  const TargetEntry& entry = this->At(index);
  const PublishedTarget& target = entry.published;
  return {this->IsKnownService(target.service), target.started_at,
          target.revision, entry.name};
}

void TargetTable::ClaimAddress(TargetIndex index) {
  this->by_address[this->At(index).published.address].push_back(index);
}

void TargetTable::ReleaseAddress(TargetIndex index) {
  const auto claims = this->by_address.find(this->At(index).published.address);
  if (claims == this->by_address.end()) {
    return;
  }
  std::erase(claims->second, index);
  if (claims->second.empty()) {
    this->by_address.erase(claims);
  }
}

void TargetTable::ResolveAddress(const common::Endpoint& address,
                                 std::chrono::milliseconds now) {
  const auto claims = this->by_address.find(address);
  if (claims == this->by_address.end()) {
    return;
  }
  const TargetIndex holder = *std::ranges::max_element(
      claims->second, [this](TargetIndex a, TargetIndex b) {
        return Outranks(this->ClaimOf(b), this->ClaimOf(a));
      });
  for (const TargetIndex index : claims->second) {
    TargetEntry& entry = this->entries.at(index);
    const AddressStanding standing =
        index == holder
            ? AddressStanding::kHolder
            : StandingBeside(this->ClaimOf(index), this->ClaimOf(holder));
    entry.contested = standing == AddressStanding::kContested;
    entry.replaced = standing == AddressStanding::kReplaced;
    entry.replaced_by = entry.replaced ? this->At(holder).name : "";
  }
  for (const TargetIndex index : claims->second) {
    this->ResolveWord(this->At(index).word, now);
  }
}

// Flows that carry a word belong to the target that started first; the other
// one would reset them. Without a start it is the one that was taken first.
bool TargetTable::PrecedesForWord(TargetIndex index, TargetIndex other) const {
  const auto rank = [this](TargetIndex target) {
    const TargetEntry& entry = this->At(target);
    const bool ended = !entry.listed || entry.replaced;
    return std::make_tuple(
        ended, !this->IsKnownService(entry.published.service),
        entry.published.started_at.value_or(std::chrono::milliseconds::max()));
  };
  return rank(index) < rank(other);
}

void TargetTable::ResolveWord(TargetWord word, std::chrono::milliseconds now) {
  std::vector<TargetIndex>& sharing = this->by_word.at(word);
  const auto owner =
      std::ranges::min_element(sharing, [this](TargetIndex a, TargetIndex b) {
        return this->PrecedesForWord(a, b);
      });
  std::iter_swap(sharing.begin(), owner);
  for (const TargetIndex index : sharing) {
    this->SetPhase(index, this->PhaseOf(index), now);
  }
}

TargetPhase TargetTable::PhaseOf(TargetIndex index) const {
  const TargetEntry& entry = this->At(index);
  if (!entry.listed || entry.replaced) {
    return TargetPhase::kGone;
  }
  if (entry.contested || this->by_word.at(entry.word).front() != index) {
    return TargetPhase::kShadowed;
  }
  if (!entry.readable) {
    return TargetPhase::kUnreadable;
  }
  return entry.published.draining ? TargetPhase::kDraining
                                  : TargetPhase::kServing;
}

void TargetTable::MarkUnreadable(const std::string& name,
                                 std::chrono::milliseconds now) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) {
    return;
  }
  if (TargetEntry& entry = this->entries.at(found->second); entry.listed) {
    entry.removal_effective_at.reset();
    entry.readable = false;
    this->ResolveWord(entry.word, now);
  }
}

void TargetTable::SetServices(std::unordered_set<std::string> names,
                              std::chrono::milliseconds now) {
  if (this->services == names) {
    return;
  }
  this->services = std::move(names);
  for (const auto& [address, claims] : this->by_address) {
    if (claims.size() > 1) {
      this->ResolveAddress(address, now);
    }
  }
  for (const auto& [word, sharing] : this->by_word) {
    if (sharing.size() > 1) {
      this->ResolveWord(word, now);
    }
  }
}

void TargetTable::Remove(const std::string& name, std::chrono::milliseconds now,
                         std::optional<std::chrono::milliseconds> due) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) {
    return;
  }
  TargetEntry& entry = this->entries.at(found->second);
  if (!entry.listed) {
    return;
  }
  if (due) {
    entry.removal_effective_at = due;
    this->expiring.insert(found->second);
    return;
  }
  this->Unlist(found->second, now);
}

void TargetTable::Unlist(TargetIndex index, std::chrono::milliseconds now) {
  TargetEntry& entry = this->entries.at(index);
  entry.listed = false;
  entry.removal_effective_at.reset();
  this->ReleaseAddress(index);
  this->ResolveWord(entry.word, now);
  this->ResolveAddress(entry.published.address, now);
}

void TargetTable::Expire(std::chrono::milliseconds now,
                         std::chrono::milliseconds confirmed_at) {
  std::vector<TargetIndex> due;
  for (const TargetIndex index : this->expiring) {
    const TargetEntry& entry = this->At(index);
    if (entry.removal_effective_at &&
        *entry.removal_effective_at <= confirmed_at) {
      due.push_back(index);
    }
  }
  for (const TargetIndex index : due) {
    this->Unlist(index, now);
  }
  std::vector<TargetIndex> outdated;
  std::erase_if(this->expiring, [&](TargetIndex index) {
    const TargetEntry& entry = this->At(index);
    if (!entry.listed && entry.gone_at + this->gone_retention < now) {
      outdated.push_back(index);
    }
    return entry.listed && !entry.removal_effective_at;
  });
  for (const TargetIndex index : outdated) {
    this->Erase(index);
  }
}

const TargetEntry* TargetTable::Find(TargetWord word) const {
  const auto found = this->by_word.find(word);
  return found == this->by_word.end()
             ? nullptr
             : &this->entries.at(found->second.front());
}

std::optional<TargetIndex> TargetTable::IndexOf(TargetWord word) const {
  const auto found = this->by_word.find(word);
  if (found == this->by_word.end()) {
    return std::nullopt;
  }
  return found->second.front();
}

const ServingTargets& TargetTable::ServingByDomain(
    const std::string& service) const {
  static const ServingTargets none;
  const auto found = this->serving.find(service);
  return found == this->serving.end() ? none : found->second;
}

std::vector<TargetIndex> TargetTable::Serving(
    const std::string& service) const {
  std::vector<TargetIndex> all;
  for (const auto& [domain, targets] : this->ServingByDomain(service)) {
    all.insert(all.end(), targets.begin(), targets.end());
  }
  return all;
}

std::vector<std::string> TargetTable::ServingServices() const {
  std::vector<std::string> services;
  services.reserve(this->serving.size());
  for (const auto& [service, domains] : this->serving) {
    services.push_back(service);
  }
  return services;
}

std::size_t TargetTable::ColdCount(std::chrono::milliseconds now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->entries, [now](const auto& entry) {
        return entry.second.published.cold_until > now &&
               entry.second.phase != TargetPhase::kGone;
      }));
}

std::set<std::string> TargetTable::ServingDomains() const {
  std::set<std::string> names;
  for (const auto& [service, domains] : this->serving) {
    for (const auto& [domain, targets] : domains) {
      names.insert(domain);
    }
  }
  return names;
}

std::size_t TargetTable::ServingCount() const {
  std::size_t count = 0;
  for (const auto& [service, domains] : this->serving) {
    for (const auto& [domain, targets] : domains) {
      count += targets.size();
    }
  }
  return count;
}

std::uint64_t TargetTable::SlotsIn(std::string_view domain) const {
  std::uint64_t slots = 0;
  for (const auto& [service, domains] : this->serving) {
    if (const auto found = domains.find(domain); found != domains.end()) {
      for (const TargetIndex target : found->second) {
        slots += this->At(target).published.slots;
      }
    }
  }
  return slots;
}

std::vector<TargetChange> TargetTable::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<TargetIndex> TargetTable::TakeErased() {
  return std::exchange(this->erased, {});
}

TargetIndex TargetTable::IndexFor(const std::string& name,
                                  const PublishedTarget& target,
                                  std::chrono::milliseconds now) {
  if (const auto known = this->by_name.find(name);
      known != this->by_name.end()) {
    return known->second;
  }
  const TargetIndex index{++this->last_index};
  TargetEntry& entry = this->entries[index];
  entry.name = name;
  entry.published = target;
  entry.word = WordFor(target.number);
  // So that SetPhase() reports the first phase as a change.
  entry.phase = TargetPhase::kGone;
  entry.gone_at = now;
  this->by_name[name] = index;
  this->by_word[entry.word].push_back(index);
  return index;
}

void TargetTable::SetPhase(TargetIndex index, TargetPhase phase,
                           std::chrono::milliseconds now) {
  TargetEntry& entry = this->entries.at(index);
  const bool same = entry.phase == phase;
  entry.phase = phase;
  this->RemoveFromServing(index, entry);
  if (phase == TargetPhase::kServing) {
    this->AddToServing(index, entry);
  }
  if (phase == TargetPhase::kGone) {
    this->expiring.insert(index);
  }
  if (same) {
    return;
  }
  if (phase == TargetPhase::kGone) {
    entry.gone_at = now;
  }
  this->changes.push_back(
      {index, entry.name, entry.published.service, phase, entry.replaced,
       entry.replaced_by, entry.published.address, entry.published.started_at});
}

void TargetTable::AddToServing(TargetIndex index, const TargetEntry& entry) {
  const PublishedTarget& target = entry.published;
  this->ListsFor(target.domain)[target.service][target.domain].push_back(index);
}

void TargetTable::RemoveFromServing(TargetIndex index,
                                    const TargetEntry& entry) {
  const PublishedTarget& target = entry.published;
  ServingByService& lists = this->ListsFor(target.domain);
  const auto service = lists.find(target.service);
  if (service == lists.end()) {
    return;
  }
  const auto domain = service->second.find(target.domain);
  if (domain == service->second.end()) {
    return;
  }
  std::erase(domain->second, index);
  if (domain->second.empty()) {
    service->second.erase(domain);
  }
  if (service->second.empty()) {
    lists.erase(service);
  }
}

std::size_t TargetTable::SetEvacuated(const std::string& domain,
                                      bool evacuated) {
  if (evacuated == this->IsEvacuated(domain)) {
    return 0;
  }
  if (evacuated) {
    this->evacuated_domains.insert(domain);
    return MoveDomain(domain, this->serving, this->evacuated);
  }
  this->evacuated_domains.erase(domain);
  return MoveDomain(domain, this->evacuated, this->serving);
}

std::size_t TargetTable::MoveDomain(const std::string& domain,
                                    ServingByService& from,
                                    ServingByService& to) {
  std::size_t moved = 0;
  for (auto& [service, domains] : from) {
    if (auto list = domains.extract(domain)) {
      moved += list.mapped().size();
      to[service].insert(std::move(list));
    }
  }
  std::erase_if(from, [](const auto& lists) { return lists.second.empty(); });
  return moved;
}

bool TargetTable::AcceptsFlows(TargetIndex index) const {
  const TargetEntry& entry = this->At(index);
  return entry.phase == TargetPhase::kServing &&
         !this->IsEvacuated(entry.published.domain);
}

void TargetTable::Erase(TargetIndex index) {
  const auto found = this->entries.find(index);
  this->by_name.erase(found->second.name);
  const auto sharing = this->by_word.find(found->second.word);
  std::erase(sharing->second, index);
  if (sharing->second.empty()) {
    this->by_word.erase(sharing);
  }
  this->entries.erase(found);
  this->expiring.erase(index);
  this->erased.push_back(index);
}

}  // namespace sassafrasdyke::core

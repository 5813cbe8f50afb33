#include "core/view/target_table.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kWordSalt = 0x776F7264ULL;

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
  const TargetIndex index = this->IndexFor(name, target);
  TargetEntry& entry = this->entries.at(index);
  // Must come before the entry changes: the list is found by its old service
  // and domain.
  this->RemoveFromServing(index, entry);
  entry.published = target;
  this->last_cold_until = std::max(this->last_cold_until, target.cold_until);
  entry.removal_effective_at.reset();
  const TargetPhase phase = this->PhaseOf(index, entry);
  entry.replaced = !this->ClaimAddress(index, now);
  entry.replaced_by.clear();
  if (entry.replaced) {
    const TargetIndex holder = this->by_address.at(target.address);
    entry.replaced_by = this->At(holder).name;
    this->MarkGone(index, entry, now);
  } else {
    this->SetPhase(index, entry, phase);
  }
}

TargetPhase TargetTable::PhaseOf(TargetIndex index, const TargetEntry& entry) {
  // If two targets have the same word, the earlier one keeps it. Flows that
  // carry the word belong to it; the other target would reset them.
  const auto [owner, added] = this->by_word.try_emplace(entry.word, index);
  const bool ended = owner->second != index &&
                     this->At(owner->second).phase == TargetPhase::kGone;
  if (ended) {
    owner->second = index;
  }
  if (owner->second != index) {
    return TargetPhase::kShadowed;
  }
  return entry.published.draining ? TargetPhase::kDraining
                                  : TargetPhase::kServing;
}

// The platform reuses an address only after its target has ended. The entry of
// a crashed target stays published for some heartbeats, and its flows would
// hang for that time although the successor's entry proves that it has ended. A
// listing holds both entries in any order, so their revisions decide which one
// is the successor.
bool TargetTable::ClaimAddress(TargetIndex index,
                               std::chrono::milliseconds now) {
  const PublishedTarget& target = this->At(index).published;
  const auto [holder, added] =
      this->by_address.try_emplace(target.address, index);
  if (added || holder->second == index) {
    return true;
  }
  TargetEntry& other = this->entries.at(holder->second);
  const bool moved = other.published.address != target.address;
  if (!moved && other.phase != TargetPhase::kGone) {
    if (other.published.revision > target.revision) {
      return false;
    }
    other.replaced = true;
    other.replaced_by = this->At(index).name;
    this->MarkGone(holder->second, other, now);
  }
  holder->second = index;
  return true;
}

void TargetTable::MarkUnreadable(const std::string& name) {
  if (const auto found = this->by_name.find(name);
      found != this->by_name.end()) {
    TargetEntry& entry = this->entries.at(found->second);
    entry.removal_effective_at.reset();
    if (entry.phase != TargetPhase::kGone) {
      this->SetPhase(found->second, entry, TargetPhase::kUnreadable);
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
  if (entry.phase == TargetPhase::kGone) {
    return;
  }
  if (due) {
    entry.removal_effective_at = due;
    this->expiring.insert(found->second);
    return;
  }
  this->MarkGone(found->second, entry, now);
}

void TargetTable::MarkGone(TargetIndex index, TargetEntry& entry,
                           std::chrono::milliseconds now) {
  entry.removal_effective_at.reset();
  entry.gone_at = now;
  this->expiring.insert(index);
  this->SetPhase(index, entry, TargetPhase::kGone);
}

void TargetTable::Expire(std::chrono::milliseconds now,
                         std::chrono::milliseconds confirmed_at) {
  std::vector<TargetIndex> republished;
  std::vector<TargetIndex> outdated;
  for (const TargetIndex index : this->expiring) {
    TargetEntry& entry = this->entries.at(index);
    if (entry.removal_effective_at &&
        *entry.removal_effective_at <= confirmed_at) {
      this->MarkGone(index, entry, now);
    }
    const bool gone = entry.phase == TargetPhase::kGone;
    if (!gone && !entry.removal_effective_at) {
      republished.push_back(index);
    } else if (gone && entry.gone_at + this->gone_retention < now) {
      outdated.push_back(index);
    }
  }
  for (const TargetIndex index : republished) {
    this->expiring.erase(index);
  }
  for (const TargetIndex index : outdated) {
    this->Erase(index);
  }
}

const TargetEntry* TargetTable::Find(TargetWord word) const {
  const auto found = this->by_word.find(word);
  return found == this->by_word.end() ? nullptr
                                      : &this->entries.at(found->second);
}

std::optional<TargetIndex> TargetTable::IndexOf(TargetWord word) const {
  const auto found = this->by_word.find(word);
  if (found == this->by_word.end()) {
    return std::nullopt;
  }
  return found->second;
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
                                  const PublishedTarget& target) {
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
  this->by_name[name] = index;
  return index;
}

void TargetTable::SetPhase(TargetIndex index, TargetEntry& entry,
                           TargetPhase phase) {
  const bool same = entry.phase == phase;
  entry.phase = phase;
  this->RemoveFromServing(index, entry);
  if (phase == TargetPhase::kServing) {
    this->AddToServing(index, entry);
  }
  if (!same) {
    this->changes.push_back({index, entry.name, entry.published.service, phase,
                             entry.replaced, entry.replaced_by,
                             entry.published.address});
  }
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
  const TargetEntry& entry = found->second;
  this->by_name.erase(entry.name);
  if (const auto word = this->by_word.find(entry.word);
      word != this->by_word.end() && word->second == index) {
    this->by_word.erase(word);
  }
  if (const auto address = this->by_address.find(entry.published.address);
      address != this->by_address.end() && address->second == index) {
    this->by_address.erase(address);
  }
  this->entries.erase(found);
  this->expiring.erase(index);
  this->erased.push_back(index);
}

}  // namespace sassafrasdyke::core

#include "core/view/item_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

/// Removal marks that are kept for deltas. At 3,200 restarts a day that is
/// about an hour of removals, in 100 KB. A peer that is further behind gets a
/// full copy.
constexpr std::size_t kMaxRemovalMarks = 1024;

std::uint64_t HashOf(const std::string& key, common::Revision revision) {
  return common::HashBytes(key.data(), key.size(), revision.value);
}

}  // namespace

bool ItemStore::Merge(Item item) {
  const auto [place, added] = this->entries.try_emplace(item.key);
  Entry& entry = place->second;
  if (!added && entry.revision >= item.revision) {
    return false;
  }
  this->removal_marks -= !added && !entry.value ? 1 : 0;
  this->Put(place->first, entry, {item.revision, std::move(item.value)});
  this->DropOldRemovalMarks();
  return true;
}

void ItemStore::Put(const std::string& key, Entry& entry, Entry next) {
  this->live_hash -= entry.value ? HashOf(key, entry.revision) : 0;
  this->live_hash += next.value ? HashOf(key, next.revision) : 0;
  this->removal_marks += next.value ? 0 : 1;
  this->newest = std::max(this->newest, next.revision);
  entry = std::move(next);
}

std::optional<std::uint64_t> ItemStore::ContentHash() const {
  if (this->newest > this->complete) {
    return std::nullopt;
  }
  return this->live_hash;
}

std::vector<std::string> ItemStore::Replace(std::vector<Item> items,
                                            common::Revision at) {
  std::set<std::string> listed;
  for (const Item& item : items) {
    listed.insert(item.key);
  }
  std::vector<std::string> changed = this->MergeAll(std::move(items));
  std::vector<std::string> removed;
  for (const auto& [key, entry] : this->entries) {
    // A listing that began before an item was written may lack it. The item's
    // revision is greater than the listing's then, and the item stays.
    if (entry.value && entry.revision <= at && !listed.contains(key)) {
      removed.push_back(key);
    }
  }
  for (std::string& key : removed) {
    // An item written at exactly `at` and missing from the listing was removed,
    // but Merge() would refuse a removal mark of the item's own revision.
    this->Put(key, this->entries.at(key), {at, std::nullopt});
    this->DropOldRemovalMarks();
    changed.push_back(std::move(key));
  }
  if (at > this->complete) {
    this->dropped_up_to = std::max(this->dropped_up_to, this->gap_to);
    this->gap_from = this->complete;
    this->gap_to = at;
  }
  this->CompleteTo(at);
  return changed;
}

std::vector<std::string> ItemStore::Apply(ItemDelta delta) {
  if (delta.whole) {
    return this->Replace(std::move(delta.items), delta.to);
  }
  if (delta.to <= this->complete || delta.from > this->complete) {
    return {};
  }
  std::vector<std::string> changed = this->MergeAll(std::move(delta.items));
  this->CompleteTo(delta.to);
  return changed;
}

std::vector<std::string> ItemStore::MergeAll(std::vector<Item> items) {
  std::vector<std::string> changed;
  for (Item& item : items) {
    std::string key = item.key;
    if (this->Merge(std::move(item))) {
      changed.push_back(std::move(key));
    }
  }
  return changed;
}

const std::string* ItemStore::ValueOf(const std::string& key) const {
  const auto found = this->entries.find(key);
  const bool exists = found != this->entries.end() && found->second.value;
  return exists ? &*found->second.value : nullptr;
}

common::Revision ItemStore::RevisionOf(const std::string& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? common::Revision{}
                                      : found->second.revision;
}

void ItemStore::CompleteTo(common::Revision revision) {
  this->complete = std::max(this->complete, revision);
}

bool ItemStore::KnowsRemovalsAfter(common::Revision have) const {
  const bool in_gap = have > this->gap_from && have < this->gap_to;
  return have >= this->dropped_up_to && !in_gap;
}

ItemDelta ItemStore::Since(common::Revision have) const {
  const bool whole = have.value == 0 || !this->KnowsRemovalsAfter(have);
  ItemDelta delta{have, this->complete, whole, {}};
  for (const auto& [key, entry] : this->entries) {
    const bool wanted =
        delta.whole ? entry.value.has_value() : entry.revision > have;
    if (wanted) {
      delta.items.push_back({key, entry.revision, entry.value});
    }
  }
  return delta;
}

void ItemStore::DropOldRemovalMarks() {
  if (this->removal_marks <= kMaxRemovalMarks) {
    return;
  }
  // Dropping the older half at once keeps this scan rare.
  std::vector<common::Revision> revisions;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.value) {
      revisions.push_back(entry.revision);
    }
  }
  const auto middle =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  this->dropped_up_to = std::max(this->dropped_up_to, *middle);
  std::erase_if(this->entries, [this](const auto& pair) {
    return !pair.second.value && pair.second.revision <= this->dropped_up_to;
  });
  this->removal_marks = static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const auto& pair) { return !pair.second.value; }));
}

}  // namespace sassafrasdyke::core

/// The published items as an instance has them, from whatever source: the
/// store, or another instance. Each item carries the revision of its last
/// change, so copies merge in any order and nothing ever goes back.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// One published item, or the mark that it was removed.
struct Item {
  std::string key;
  common::Revision revision;         ///< Of its last change.
  std::optional<std::string> value;  ///< Nothing once it was removed.

  friend bool operator==(const Item&, const Item&) = default;
};

/// All changes in (from, to], or everything that exists at `to`.
struct ItemDelta {
  common::Revision from;
  common::Revision to;
  bool whole{false};  ///< Everything; what it doesn't list was removed.
  std::vector<Item> items;
};

/// Items by key, with marks of what was removed. Items are taken by value and
/// moved in: a configuration of some thousand routes is the greatest thing that
/// an instance holds, and each copy of it counts at the moment of a change.
class ItemStore {
 public:
  /// Takes one change; false if the same or a newer one is known.
  bool Merge(Item item);
  /// Takes a listing that is complete at `at`: what it lacks was removed.
  /// Returns the keys of the items that changed.
  std::vector<std::string> Replace(std::vector<Item> items,
                                   common::Revision at);
  /// Takes another instance's items; nothing of a delta with a gap before it,
  /// or of an older whole. Returns the keys of the items that changed.
  std::vector<std::string> Apply(ItemDelta delta);
  /// The item's value; null when it was removed or was never known.
  const std::string* ValueOf(const std::string& key) const;
  /// The revision of the item's last change; 0 when it was never known.
  common::Revision RevisionOf(const std::string& key) const;
  /// Every change up to `revision` has been merged.
  void CompleteTo(common::Revision revision);

  /// Up to which revision every change is known; 0 before the first listing.
  common::Revision Complete() const { return this->complete; }
  /// What another instance that is complete to `have` lacks.
  ItemDelta Since(common::Revision have) const;

 private:
  /// The keys of those that were news.
  std::vector<std::string> MergeAll(std::vector<Item> items);
  void ForgetOldRemovals();

  struct Entry {
    common::Revision revision;
    std::optional<std::string> value;
  };
  std::map<std::string, Entry> entries;
  std::size_t removals{0};
  common::Revision complete;
  /// Removals up to this revision may have been forgotten.
  common::Revision forgotten;
};

}  // namespace sassafrasdyke::core

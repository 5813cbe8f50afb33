/// An instance's replica of the published items, merged from the store and from
/// other instances. Each item carries the revision of its last change, so
/// changes can be merged in any order, and an older one never replaces a newer.
#pragma once

#include <cstddef>
#include <cstdint>
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

/// All changes with revisions in (from, to], or a full copy at revision `to`.
struct ItemDelta {
  common::Revision from;
  common::Revision to;
  bool whole{false};  ///< A full copy; items that it lacks were removed.
  std::vector<Item> items;
};

/// Items by key, with removal marks for removed ones. Items are passed by value
/// and moved in: a configuration of some thousand routes is the largest object
/// that an instance holds, and copies of it add to peak memory during a change.
class ItemStore {
 public:
  /// Merges one change. Returns false if the same or a newer one is stored.
  bool Merge(Item item);
  /// Merges a listing that is complete at revision `at`: items that it lacks
  /// were removed. Returns the keys of the items that changed.
  std::vector<std::string> Replace(std::vector<Item> items,
                                   common::Revision at);
  /// Merges items received from another instance. Ignores a delta that starts
  /// after the own revision, which would leave a gap, and one that ends at or
  /// before it. A full copy may be older. Returns the keys of the items that
  /// changed.
  std::vector<std::string> Apply(ItemDelta delta);
  /// The item's value; null if it was removed or never stored.
  const std::string* ValueOf(const std::string& key) const;
  /// The revision of the item's last change; 0 if there is no entry.
  common::Revision RevisionOf(const std::string& key) const;
  /// Records that every change up to `revision` has been merged.
  void CompleteTo(common::Revision revision);

  /// The revision up to which every change is merged; 0 before the first
  /// listing.
  common::Revision Complete() const { return this->complete; }
  /// A hash of the keys and revisions of all live items. Two replicas that are
  /// complete at the same revision and hold the same items have the same one.
  /// Nothing while items newer than the own revision are merged.
  std::optional<std::uint64_t> ContentHash() const;
  /// The changes after `have`; a full copy if `have` is 0 or removals after it
  /// may be unknown.
  ItemDelta Since(common::Revision have) const;

 private:
  /// Whether all removals after `have` are known.
  bool KnowsRemovalsAfter(common::Revision have) const;
  /// Returns the keys of the items that changed.
  std::vector<std::string> MergeAll(std::vector<Item> items);
  void DropOldRemovalMarks();

  struct Entry {
    common::Revision revision;
    std::optional<std::string> value;
  };
  /// Replaces an entry, which may be an empty one.
  void Put(const std::string& key, Entry& entry, Entry next);

  std::map<std::string, Entry> entries;
  std::size_t removal_marks{0};
  /// The sum of the hashes of live items, modulo 2^64.
  std::uint64_t live_hash{0};
  /// The highest revision of any item merged.
  common::Revision newest;
  common::Revision complete;
  /// Removal marks up to this revision may have been dropped.
  common::Revision dropped_up_to;
  /// The own revision before the last listing or full copy, and the revision of
  /// that. Items that were published and removed between the two left no mark.
  common::Revision gap_from;
  common::Revision gap_to;
};

}  // namespace sassafrasdyke::core

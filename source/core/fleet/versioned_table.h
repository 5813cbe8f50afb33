/// Records of which the newer version wins. Two instances that have merged the
/// same records, in whatever order, hold the same table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sassafrasdyke::core {

/// `Traits` gives `Record`, `Key`, `KeyOf(record)`, `Newer(left, right)` (a
/// strict total order of the records of one key) and `HashOf(record)`.
template <typename Traits>
class VersionedTable {
 public:
  using Record = typename Traits::Record;
  using Key = typename Traits::Key;
  using Records = std::map<Key, Record>;
  /// Where a page ended; nothing at the start.
  using Cursor = std::optional<Key>;

  /// Takes `record` if it is newer than what is here. True when it was taken.
  bool Merge(const Record& record) {
    const auto [place, inserted] =
        this->records.try_emplace(Traits::KeyOf(record), record);
    if (!inserted) {
      if (!Traits::Newer(record, place->second)) {
        return false;
      }
      this->digest -= Traits::HashOf(place->second);
      place->second = record;
    }
    this->digest += Traits::HashOf(record);
    return true;
  }

  const Record* Find(const Key& key) const {
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
  }

  /// Removes the records for which `condition(record)` holds.
  template <typename Condition>
  void EraseIf(Condition condition) {
    std::erase_if(this->records, [&](const auto& item) {
      const bool erase = condition(item.second);
      this->digest -= erase ? Traits::HashOf(item.second) : 0;
      return erase;
    });
  }

  /// The next `count` records after `cursor`, which is moved; starts again from
  /// the first after the last.
  std::vector<Record> Page(Cursor& cursor, std::size_t count) const {
    std::vector<Record> page;
    auto next =
        cursor ? this->records.upper_bound(*cursor) : this->records.begin();
    for (; next != this->records.end() && page.size() < count; ++next) {
      page.push_back(next->second);
      cursor = next->first;
    }
    if (next == this->records.end()) {
      cursor.reset();
    }
    return page;
  }

  /// A sum of hashes: equal tables have equal digests.
  std::uint64_t Digest() const { return this->digest; }
  const Records& All() const { return this->records; }

 private:
  Records records;
  std::uint64_t digest{0};
};

}  // namespace sassafrasdyke::core

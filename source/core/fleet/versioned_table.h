/// A replicated table in which the newer version of a record wins. Two
/// instances that have merged the same records, in any order, hold the same
/// table.
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
  /// The position after a page; nothing to start with the latest arrival.
  using Cursor = std::optional<std::uint64_t>;

  /// Stores `record` if it is newer than the stored one. True when it was.
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
    this->RecordArrival(place->first);
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
      if (erase) {
        this->digest -= Traits::HashOf(item.second);
        this->ForgetArrival(item.first);
      }
      return erase;
    });
  }

  /// The next `count` records, from the latest arrival to the earliest, and
  /// moves `cursor`, which starts over after the earliest. A peer most often
  /// lacks the latest ones.
  std::vector<Record> Page(Cursor& cursor, std::size_t count) const {
    std::vector<Record> page;
    auto next =
        cursor ? this->arrivals.lower_bound(*cursor) : this->arrivals.end();
    while (next != this->arrivals.begin() && page.size() < count) {
      --next;
      page.push_back(this->records.at(next->second));
      cursor = next->first;
    }
    if (next == this->arrivals.begin()) {
      cursor.reset();
    }
    return page;
  }

  /// The sum of the records' hashes: equal tables have equal digests.
  std::uint64_t Digest() const { return this->digest; }
  const Records& All() const { return this->records; }

 private:
  void ForgetArrival(const Key& key) {
    if (const auto found = this->arrival_of.find(key);
        found != this->arrival_of.end()) {
      this->arrivals.erase(found->second);
      this->arrival_of.erase(found);
    }
  }

  void RecordArrival(const Key& key) {
    this->ForgetArrival(key);
    ++this->last_arrival;
    this->arrivals.emplace(this->last_arrival, key);
    this->arrival_of.emplace(key, this->last_arrival);
  }

  Records records;
  std::map<std::uint64_t, Key> arrivals;  ///< In order of arrival.
  std::map<Key, std::uint64_t> arrival_of;
  std::uint64_t last_arrival{0};
  std::uint64_t digest{0};
};

}  // namespace sassafrasdyke::core

/// Keys that packets name and the view lacks.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>

namespace sassafrasdyke::core {

/// Tells keys that aren't published from those that other instances have learnt
/// of earlier. The age of a view alone doesn't show that a key isn't published:
/// it may have been published after the last confirmation, however recent. A
/// view that was confirmed after a packet named the key shows it. Times are
/// monotonic.
template <typename Key, typename Hash = std::hash<Key>>
class MissingKeys {
 public:
  /// A packet names `key`, which the view lacks. Returns whether the view,
  /// confirmed at `confirmed_at` (nothing if never), shows that the key isn't
  /// published.
  bool IsUnpublished(const Key& key,
                     std::optional<std::chrono::milliseconds> confirmed_at,
                     std::chrono::milliseconds now) {
    const auto found = this->first_named.find(key);
    if (found != this->first_named.end()) {
      return confirmed_at && *confirmed_at >= found->second + kPropagationTime;
    }
    if (this->first_named.size() < kMaxKeys) {
      this->first_named.emplace(key, now);
    }
    return false;
  }

  void Forget(const Key& key) { this->first_named.erase(key); }

  /// Forgets keys for which `known` holds, and those that were first named
  /// before `oldest`.
  void Expire(std::chrono::milliseconds oldest,
              const std::function<bool(const Key&)>& known) {
    std::erase_if(this->first_named, [&](const auto& entry) {
      return entry.second < oldest || known(entry.first);
    });
  }

 private:
  /// Covers the propagation delay of stores and peers.
  static constexpr std::chrono::milliseconds kPropagationTime{500};
  /// So that forged keys can't exhaust memory.
  static constexpr std::size_t kMaxKeys = 256;

  std::unordered_map<Key, std::chrono::milliseconds, Hash> first_named;
};

}  // namespace sassafrasdyke::core

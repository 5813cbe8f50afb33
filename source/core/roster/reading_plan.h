/// Decides when an instance reads the store itself and when it relies on peers.
///
/// The store's bandwidth and request rate don't grow with the fleet. After a
/// common restart no instance has a view. If all instances of a large fleet
/// listed the store at once, the answers would saturate its link, miss their
/// deadlines and be requested again. While the store is unreachable all views
/// become old, and all instances would call it at the same time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/fleet/jitter.h"
#include "core/roster/sync_limits.h"

namespace sassafrasdyke::core {

/// Why an instance reads the store itself.
enum class StoreReading : std::uint8_t {
  kNone,
  /// No peer has answered yet. The instance lists the store only if the answer
  /// is small enough for all instances of the fleet to list it at once.
  kProbe,
  /// It has received no update for a while. The readers of its domain call the
  /// store as well, and notify it when they succeed.
  kSubstitute,
  /// It is a reader or a seed on which others depend, or it can't get a view in
  /// another way.
  kNeeded,
};

/// The log's word for a reason to read the store.
std::string_view Word(StoreReading reading);

/// The roles of an instance in the fleet.
struct ReadingRole {
  bool seed{false};
  bool reader{false};  ///< Of its failure domain.
};

/// The reading schedule of one instance. Times are monotonic, since process
/// start.
class ReadingPlan {
 public:
  /// `seed` affects only the random delays.
  ReadingPlan(const SyncLimits& limits, std::uint64_t seed);

  /// A digest was received from a peer.
  void OnDigest(std::chrono::milliseconds now);
  /// An own call of the store failed. `members`: the number of live members of
  /// the failure domain.
  void OnFailure(std::size_t members, std::chrono::milliseconds now);
  /// A reader of the failure domain reported that it can't reach the store. No
  /// change can be missed then, so a pending delay is replaced, once per
  /// outage, by a random one without the bound of the first delay.
  void OnStoreUnreachable(std::size_t members, std::chrono::milliseconds now);
  /// Called ten times a second. `age`: the age of the view, if there is one.
  void OnTick(std::optional<std::chrono::milliseconds> age, std::size_t members,
              std::chrono::milliseconds now);

  /// Whether, and why, to read the store without a view.
  StoreReading ReadingWithoutView(const ReadingRole& role,
                                  std::chrono::milliseconds now) const;
  /// Whether, and why, to read the store with a view that was last confirmed
  /// `age` ago. No age: never confirmed.
  StoreReading ReadingWithView(const ReadingRole& role,
                               std::optional<std::chrono::milliseconds> age,
                               std::chrono::milliseconds now) const;
  /// Whether the instance reads in place of its domain's readers and notifies
  /// the other followers.
  bool IsSubstitute(std::chrono::milliseconds now) const {
    return this->substitute_from &&
           (now >= *this->substitute_from || this->IsIsolated(now));
  }
  bool HasHeardPeers() const { return this->last_digest_at.has_value(); }
  std::optional<std::chrono::milliseconds> LastDigestAt() const {
    return this->last_digest_at;
  }
  /// From when on this instance may read as a substitute; nothing while its
  /// view isn't too old.
  std::optional<std::chrono::milliseconds> SubstituteFrom() const {
    return this->substitute_from;
  }

 private:
  bool TooOld(std::optional<std::chrono::milliseconds> age) const {
    return !age || *age > this->limits.read_after;
  }
  /// Whether the instance seems disconnected from its peers, so that no one
  /// can notify it.
  bool IsIsolated(std::chrono::milliseconds now) const;
  /// A randomized time from which this instance may read as a substitute; `now`
  /// if it seems disconnected from its peers.
  std::chrono::milliseconds NextSubstituteTime(
      std::chrono::milliseconds max_delay, std::chrono::milliseconds now);
  /// The maximum delay of a substitute in a failure domain of `members` live
  /// members, without the bound of the first delay.
  std::chrono::milliseconds MaxSubstituteDelay(std::size_t members) const {
    return this->limits.substitute_delay_per_member * static_cast<int>(members);
  }

  const SyncLimits limits;
  Jitter jitter;
  std::chrono::milliseconds list_without_peers_from;
  /// Whether a call of the store has failed; prevents further probes.
  bool store_failed{false};
  std::optional<std::chrono::milliseconds> last_digest_at;
  /// Until this time the instance leaves listing the store to others.
  std::chrono::milliseconds list_not_before{0};
  std::optional<std::chrono::milliseconds> substitute_from;
  /// Whether OnStoreUnreachable() has replaced a delay since the view became
  /// too old.
  bool store_unreachable{false};
};

}  // namespace sassafrasdyke::core

/// Tracks the reachability of the store: the age of the view, and whether an
/// outage of the store may have let entries of live targets expire.
#pragma once

#include <chrono>
#include <optional>

namespace sassafrasdyke::core {

/// How long after an outage of the store targets whose entries have expired may
/// take to register again. The platform states about two seconds; the extra
/// half a second covers the delay of a watch.
inline constexpr std::chrono::milliseconds kReturnSettle{2500};
/// No entry expires in an outage of up to this length: entries live for three
/// heartbeats, at least 2 s. It also exceeds the longest time between two
/// responses to a reader, so that a store without changes doesn't seem
/// unreachable.
inline constexpr std::chrono::milliseconds kMaxHarmlessOutage{1800};

/// What an instance knows of the store's reachability, from its own calls and
/// from peers. Times are monotonic, since process start.
class StoreContact {
 public:
  /// At time `at` the store confirmed the current revision to this instance or
  /// to a peer at the same revision, by what is read at `now`.
  void OnConfirmed(std::chrono::milliseconds at, std::chrono::milliseconds now);
  /// The process was paused for `length` until `now`. What it reads next may
  /// have waited in its sockets meanwhile, and is older than it seems.
  void OnPause(std::chrono::milliseconds length, std::chrono::milliseconds now);
  /// This instance's own call was served, by an answer that the store made
  /// `age` ago or shortly before.
  void OnAnswer(std::chrono::milliseconds now,
                std::chrono::milliseconds age = std::chrono::milliseconds{0});
  /// This instance's own call was refused, lost or timed out.
  void OnFailure();
  /// This instance has stopped reading the store itself.
  void OnReadingStopped() { this->last_call_served = false; }
  /// A peer reports that it can't reach the store.
  void OnStoreUnreachable();
  /// The store became reachable again at time `at`, after an outage that may
  /// have let entries expire.
  void OnReturn(std::chrono::milliseconds at);

  /// Whether this instance's own last call was served.
  bool LastCallServed() const { return this->last_call_served; }
  /// The time since the view was last confirmed; nothing before the first
  /// confirmation.
  std::optional<std::chrono::milliseconds> Age(
      std::chrono::milliseconds now) const;
  /// When to apply a removal that is seen at `now` and may be the expiry of a
  /// live target's entry.
  std::chrono::milliseconds RemovalEffectiveAt(
      std::chrono::milliseconds now) const;
  /// The end of the last outage; nothing if there was none.
  std::optional<std::chrono::milliseconds> ReturnedAt() const {
    return this->returned_at;
  }
  /// Whether a removal seen at `now` may be the expiry of an entry during an
  /// outage of the store, although the target still serves.
  bool LapseLikely(std::chrono::milliseconds now) const;

 private:
  /// The time by which targets have registered again after the last outage.
  std::chrono::milliseconds ReregisteredBy() const;
  /// Whether neither this instance nor its peers have reached the store for so
  /// long that entries may have expired. If the store refuses only this
  /// instance, confirmations from peers keep this false.
  bool SeemsUnreachable(std::chrono::milliseconds now) const;
  /// Whether the view was confirmed so long ago that entries may have expired
  /// if the store was away since.
  bool IsOld(std::chrono::milliseconds now) const;

  bool last_call_served{false};
  /// The length of the last pause, by which what is read until `drained_at` may
  /// be older than it seems.
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds drained_at{0};
  /// Reported unreachable since the last own call that was served.
  bool unreachable{false};
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::optional<std::chrono::milliseconds> returned_at;
};

}  // namespace sassafrasdyke::core

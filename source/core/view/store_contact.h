/// What is known of the store's presence: how old the view is, and whether the
/// store has just come back.
#pragma once

#include <chrono>
#include <optional>

namespace sassafrasdyke::core {

/// How long after the store's return targets that lapsed meanwhile may take to
/// register again. The platform says about two seconds; half a second more
/// covers the lag of a watch.
inline constexpr std::chrono::milliseconds kReturnSettle{2500};
/// An absence no longer than this lets no entry lapse: entries live for three
/// heartbeats, at least 2 s. It is also longer than the longest pause between
/// two answers to a reader, so a quiet store doesn't look absent.
inline constexpr std::chrono::milliseconds kHarmlessAbsence{1800};

/// Times are monotonic, since process start.
class StoreContact {
 public:
  /// The store answered, to this instance or to one whose view this one shares.
  void OnConfirmed(std::chrono::milliseconds at);
  /// This instance's own call was served.
  void OnAnswer(std::chrono::milliseconds now);
  /// This instance's own call was refused, lost or not answered.
  void OnFailure();
  /// This instance reads no longer itself.
  void OnIdle() { this->answers = false; }
  /// Another instance can't reach the store.
  void OnAbsence();
  /// Another instance saw the store return at `at`.
  void OnReturn(std::chrono::milliseconds at);

  /// Whether this instance's own last call was served.
  bool Answers() const { return this->answers; }
  /// How old the view may be; nothing before the first confirmation.
  std::optional<std::chrono::milliseconds> Age(
      std::chrono::milliseconds now) const;
  /// When a removal that is seen at `now`, and may be a lapse, is to be
  /// believed.
  std::chrono::milliseconds RemovalDue(std::chrono::milliseconds now) const;
  /// When the store last came back; nothing if it was never seen away.
  std::optional<std::chrono::milliseconds> ReturnedAt() const {
    return this->returned_at;
  }
  /// Whether a removal seen at `now` may be such a lapse.
  bool LapseLikely(std::chrono::milliseconds now) const;

 private:
  /// Until when targets may take to register again.
  std::chrono::milliseconds SettledAt() const;
  /// Whether nobody has heard of the store for long enough to let entries
  /// lapse. A store that refuses only this instance isn't away: peers confirm.
  bool SeemsAbsent(std::chrono::milliseconds now) const;

  bool answers{false};
  bool ever_answered{false};
  bool away{false};
  std::optional<std::chrono::milliseconds> confirmed_at;
  std::optional<std::chrono::milliseconds> returned_at;
};

}  // namespace sassafrasdyke::core

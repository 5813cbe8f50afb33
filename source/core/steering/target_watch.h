/// What an instance learns of targets from the packets it forwards: who answers
/// SYNs, who swallows them, and who has fallen silent.
///
/// A target that dies without a word stays published until its entry lapses,
/// two to four seconds later. Its clients' requests would wait for nobody until
/// then, past their deadlines. Packets that stay without an answer raise a
/// suspicion; connections that the target's machine doesn't take either confirm
/// it, and clients are told to come back. A slow target still takes
/// connections, so it is never taken for a silent one.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// How a trial connection to a target ended.
enum class ProbeOutcome : std::uint8_t {
  kAnswered,  ///< The target's machine took it.
  kRefused,   ///< Nobody listens there.
  kSilent,    ///< No answer in time, though a control answered quickly.
  kUnclear,   ///< No answer, but perhaps for reasons of this instance's own.
};

/// The log's word for an outcome.
std::string_view Word(ProbeOutcome outcome);

/// What is known of whether a target lives. Times are monotonic.
struct SignsOfLife {
  /// When a client last showed that the target answers.
  std::optional<std::chrono::milliseconds> answered_at;
  /// How the last trial connection ended, and when.
  std::optional<ProbeOutcome> probe;
  std::chrono::milliseconds probed_at{0};
};

/// Passive health, by target. Times are monotonic.
class TargetWatch {
 public:
  /// A packet that a living target answers was sent.
  void OnSent(TargetIndex target, std::chrono::milliseconds now);
  /// The target is published as leaving; it serves its flows to the end.
  void OnLeaving(TargetIndex target, std::chrono::milliseconds now);
  /// The target is no longer published; it may have ended.
  void OnUnpublished(TargetIndex target, std::chrono::milliseconds now);
  /// The target is published as serving.
  void OnServing(TargetIndex target);
  /// A trial connection ended that was started at `started`; true if the
  /// target is silent since now.
  bool OnProbed(TargetIndex target, ProbeOutcome outcome,
                std::chrono::milliseconds started,
                std::chrono::milliseconds now);
  /// Takes the targets to which a trial connection shall be made.
  std::vector<TargetIndex> TakeProbes(std::chrono::milliseconds now);
  /// The process stood still: what it has not seen meanwhile says nothing.
  void OnPause(std::chrono::milliseconds now);
  /// The target that showed life last, since `since`, other than `except`.
  std::optional<TargetIndex> LastAlive(TargetIndex except,
                                       std::chrono::milliseconds since) const;
  /// Whether the target surely doesn't answer now.
  bool Silent(TargetIndex target) const;

  /// A client shows that the target answered.
  void OnAnswered(TargetIndex target, std::chrono::milliseconds now);
  /// A client repeats a SYN that the target has left unanswered.
  void OnMissed(TargetIndex target, std::chrono::milliseconds now);
  void Forget(TargetIndex target) {
    this->states.erase(target);
    this->asking.erase(target);
  }

  /// Whether new flows should avoid the target.
  bool Suspected(TargetIndex target, std::chrono::milliseconds now) const;
  /// When the target last left a SYN unanswered; the least for never.
  std::chrono::milliseconds LastMissed(TargetIndex target) const;
  /// When a client last showed that the target answers.
  std::chrono::milliseconds LastAnswered(TargetIndex target) const;
  SignsOfLife Signs(TargetIndex target) const;

 private:
  struct State {
    unsigned misses{0};
    std::chrono::milliseconds last_missed{0};
    std::chrono::milliseconds last_answered{std::chrono::milliseconds::min()};
    std::optional<ProbeOutcome> last_probe;
    std::chrono::milliseconds probed_at{0};
    std::chrono::milliseconds suspected_until{0};
    /// Packets sent since the target last showed life, and since when.
    unsigned unanswered{0};
    std::chrono::milliseconds unanswered_since{0};
    /// Trial connections in a row that failed, with no sign of life between.
    unsigned failed_probes{0};
    std::chrono::milliseconds next_probe{0};
    bool wants_probe{false};
    bool unpublished{false};
    /// Since when it has been leaving or unpublished; nothing while it serves.
    std::optional<std::chrono::milliseconds> leaving_since;
    bool silent{false};
  };
  const State* Find(TargetIndex target) const;
  void Ask(TargetIndex target, State& state);
  static void ShowLife(State& state, std::chrono::milliseconds now);

  std::unordered_map<TargetIndex, State> states;
  /// Those that may want a trial connection: looked at with every batch of
  /// packets, while thousands of others have nothing to ask.
  std::unordered_set<TargetIndex> asking;
};

}  // namespace sassafrasdyke::core

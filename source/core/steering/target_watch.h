/// Passive health checking: infers from forwarded packets which targets answer,
/// which leave SYNs unanswered, and which no longer answer at all (silent).
///
/// A crashed target stays published until its entry lapses, two to four seconds
/// later. Until then its clients' requests would remain unanswered past their
/// deadlines. Unanswered packets raise a suspicion; if probe connections fail
/// as well, it is confirmed, and the clients are sent resets so that they
/// reconnect. A slow target still accepts connections, so it never counts as
/// silent.
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

/// Outcome of a probe, a trial connection to a target.
enum class ProbeOutcome : std::uint8_t {
  kAnswered,  ///< The target's host accepted it.
  kRefused,   ///< The host refused it: nothing listens there.
  kSilent,    ///< No answer in time, though a control target answered quickly.
  kUnclear,   ///< No answer, but perhaps because of this instance itself.
};

/// Name of the outcome in logs.
std::string_view Word(ProbeOutcome outcome);

/// Evidence of whether a target is alive. Times are monotonic.
struct LivenessEvidence {
  /// When a client last showed that the target answers.
  std::optional<std::chrono::milliseconds> answered_at;
  /// Outcome of the last probe, and when it ended.
  std::optional<ProbeOutcome> probe;
  std::chrono::milliseconds probed_at{0};
};

/// Tracks the health of each target. Times are monotonic.
class TargetWatch {
 public:
  /// A packet was sent to which a live target responds.
  void OnSent(TargetIndex target, std::chrono::milliseconds now);
  /// The target is published as leaving; it goes on serving its existing flows.
  void OnLeaving(TargetIndex target, std::chrono::milliseconds now);
  /// The target is no longer published; it may have ended.
  void OnUnpublished(TargetIndex target, std::chrono::milliseconds now);
  /// The target is published as serving.
  void OnServing(TargetIndex target);
  /// Records the outcome of a probe that was started at `started`. Returns true
  /// if the target has just become silent.
  bool OnProbed(TargetIndex target, ProbeOutcome outcome,
                std::chrono::milliseconds started,
                std::chrono::milliseconds now);
  /// Returns the targets that are due for a probe and marks them as probed.
  std::vector<TargetIndex> TakeProbes(std::chrono::milliseconds now);
  /// The process was paused: answers that it did not see meanwhile are no
  /// evidence against a target.
  void OnPause(std::chrono::milliseconds now);
  /// The target other than `except` that answered most recently, at `since` or
  /// later. It serves as the control of a probe.
  std::optional<TargetIndex> LastAlive(TargetIndex except,
                                       std::chrono::milliseconds since) const;
  /// Another instance has confirmed that the target doesn't answer: requests a
  /// probe, which starts at once unless one ended shortly before.
  void OnReportedSilent(TargetIndex target);
  /// The silent targets. Visits only those that may need a probe.
  std::vector<TargetIndex> SilentTargets() const;
  /// Whether probes have confirmed that the target doesn't answer.
  bool Silent(TargetIndex target) const {
    return this->SilentAsOf(target).has_value();
  }
  /// The latest time as of which probes have confirmed that; nothing if they
  /// haven't.
  std::optional<std::chrono::milliseconds> SilentAsOf(TargetIndex target) const;

  /// A client has shown that the target answered.
  void OnAnswered(TargetIndex target, std::chrono::milliseconds now);
  /// A client retransmitted a SYN that the target has left unanswered.
  void OnSynUnanswered(TargetIndex target, std::chrono::milliseconds now);
  void Forget(TargetIndex target) {
    this->states.erase(target);
    this->probe_candidates.erase(target);
  }

  /// Whether new flows should avoid the target.
  bool Suspected(TargetIndex target, std::chrono::milliseconds now) const;
  /// When the target last left a SYN unanswered; 0 if never.
  std::chrono::milliseconds LastUnansweredSyn(TargetIndex target) const;
  /// When a client last showed that the target answers; `milliseconds::min()`
  /// if never.
  std::chrono::milliseconds LastAnswered(TargetIndex target) const;
  LivenessEvidence Evidence(TargetIndex target) const;

 private:
  struct State {
    unsigned unanswered_syns{0};
    std::chrono::milliseconds last_unanswered_syn{0};
    std::chrono::milliseconds last_answered{std::chrono::milliseconds::min()};
    std::optional<ProbeOutcome> last_probe;
    std::chrono::milliseconds probed_at{0};
    std::chrono::milliseconds suspected_until{0};
    /// Packets sent since the target last answered, and when the first of them
    /// was sent.
    unsigned unanswered{0};
    std::chrono::milliseconds unanswered_since{0};
    /// Consecutive failed probes, with no answer in between, and the start of
    /// the last one.
    unsigned failed_probes{0};
    std::chrono::milliseconds last_failed_start{0};
    std::chrono::milliseconds next_probe{0};
    bool wants_probe{false};
    bool unpublished{false};
    /// Since when it has been leaving or unpublished; nothing while it serves.
    std::optional<std::chrono::milliseconds> leaving_since;
    /// Nothing if it isn't silent.
    std::optional<std::chrono::milliseconds> silent_as_of;
  };
  const State* Find(TargetIndex target) const;
  void RequestProbe(TargetIndex target, State& state);
  static void MarkAlive(State& state, std::chrono::milliseconds now);

  std::unordered_map<TargetIndex, State> states;
  /// Targets that may need a probe. A set of its own, as it is scanned with
  /// every batch of packets while thousands of other targets need none.
  std::unordered_set<TargetIndex> probe_candidates;
};

}  // namespace sassafrasdyke::core

/// What an instance learns of targets from the packets it forwards: who answers
/// SYNs, who swallows them, and how many new flows each has been given.
#pragma once

#include <chrono>
#include <unordered_map>

#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Passive health and load, by target. Times are monotonic.
class TargetWatch {
 public:
  /// A new flow was sent to the target.
  void OnPlaced(TargetIndex target, std::chrono::milliseconds now);
  /// A client shows that the target answered.
  void OnAnswered(TargetIndex target, std::chrono::milliseconds now);
  /// A client repeats a SYN that the target has left unanswered.
  void OnMissed(TargetIndex target, std::chrono::milliseconds now);
  void Forget(TargetIndex target) { this->states.erase(target); }

  /// Whether new flows should avoid the target.
  bool Suspected(TargetIndex target, std::chrono::milliseconds now) const;
  /// When the target last left a SYN unanswered; the least for never.
  std::chrono::milliseconds LastMissed(TargetIndex target) const;
  /// When a client last showed that the target answers.
  std::chrono::milliseconds LastAnswered(TargetIndex target) const;
  /// New flows given to the target lately, for comparing targets.
  double RecentFlows(TargetIndex target, std::chrono::milliseconds now) const;
  /// Consecutive unanswered SYNs.
  unsigned Misses(TargetIndex target) const;

 private:
  struct State {
    unsigned misses{0};
    std::chrono::milliseconds last_missed{0};
    std::chrono::milliseconds last_answered{std::chrono::milliseconds::min()};
    std::chrono::milliseconds suspected_until{0};
    double flows{0};
    std::chrono::milliseconds flows_at{0};
  };
  const State* Find(TargetIndex target) const;

  std::unordered_map<TargetIndex, State> states;
};

}  // namespace sassafrasdyke::core

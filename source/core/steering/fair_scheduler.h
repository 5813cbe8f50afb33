/// Shares new flows among a service's targets in proportion to what each can
/// work on, by start-time fair queueing.
///
/// Choosing by the number of past flows would give a target that joins, or
/// returns after a suspicion, a withdrawn drain or a lapse, nearly every new
/// flow until its number has caught up. All instances would do so at once; the
/// target would shed requests, and callers would wait in its queue while other
/// targets idle. Here a target that was absent, for whatever reason, resumes at
/// the current virtual time.
#pragma once

#include <string>
#include <unordered_map>

#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Start and finish tags are virtual times, in flows per slot. An instance
/// counts its own flows only. A target's capacity is what it can work on, in
/// slots, which its health may reduce.
class FairScheduler {
 public:
  /// Start tag of the target's next flow; the eligible target with the least is
  /// chosen.
  double StartTag(TargetIndex target, const std::string& service,
                  double capacity) const;
  /// A flow was placed at the target.
  void OnPlaced(TargetIndex target, const std::string& service,
                double capacity);
  void Forget(TargetIndex target) { this->start_tags.erase(target); }

 private:
  /// Start tag of the last flow that was placed at each target. The finish tag
  /// follows from the present capacity: a target whose capacity was tiny would
  /// otherwise get nothing for long after it has recovered.
  std::unordered_map<TargetIndex, double> start_tags;
  /// Virtual time by service: the start tag of the flow that was placed last.
  std::unordered_map<std::string, double> virtual_times;
};

}  // namespace sassafrasdyke::core

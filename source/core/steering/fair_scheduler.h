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

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Start and finish tags are virtual times, in flows per slot; they never
/// decrease. An instance counts its own flows only.
class FairScheduler {
 public:
  /// Start tag of the target's next flow; the eligible target with the least is
  /// chosen.
  double StartTag(TargetIndex target, const std::string& service) const;
  /// A flow was placed at the target. `slots`: requests that it processes
  /// concurrently, its weight.
  void OnPlaced(TargetIndex target, const std::string& service,
                std::uint32_t slots);
  void Forget(TargetIndex target) { this->finish_tags.erase(target); }

 private:
  /// Finish tag of the last flow that was placed at each target.
  std::unordered_map<TargetIndex, double> finish_tags;
  /// Virtual time by service: the start tag of the flow that was placed last.
  std::unordered_map<std::string, double> virtual_times;
};

}  // namespace sassafrasdyke::core

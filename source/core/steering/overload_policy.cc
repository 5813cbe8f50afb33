#include "core/steering/overload_policy.h"

#include <algorithm>

#include "core/steering/syn_queue.h"

namespace sassafrasdyke::core {
namespace {

/// Least rate that is assumed: a queue that hardly moves may be about to.
constexpr double kMinLeavePerSecond = 1.0;

}  // namespace

OverloadDecision RefuseHopeless::Judge(const SynOutlook& syn) const {
  if (!syn.leave_per_s) {
    return {false, OverloadReason::kRateUnknown};
  }
  const std::chrono::duration<double> until_turn(
      static_cast<double>(syn.ahead) /
      std::max(*syn.leave_per_s, kMinLeavePerSecond));
  if (syn.waited + until_turn <= kSynLife) {
    return {false, OverloadReason::kCanBeServed};
  }
  if (!syn.all_copies_here) {
    return {false, OverloadReason::kMaybeForwarded};
  }
  return {true, OverloadReason::kCannotBeServed};
}

OverloadDecision JudgeLastInFullQueue(bool all_copies_here) {
  if (!all_copies_here) {
    return {false, OverloadReason::kMaybeForwarded};
  }
  return {true, OverloadReason::kQueueFull};
}

}  // namespace sassafrasdyke::core

/// Compares targets of one group by what all instances of the domain have
/// observed of them. Decides without state.
#pragma once

#include <cstddef>

#include "core/health/target_evidence.h"
#include "core/health/target_weights.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// How a target compares with its group.
struct OutlierEvaluation {
  OutlierState state{OutlierState::kHealthy};
  double weight{1.0};
  double requests{0};  ///< Includes estimated ones.
  double failures{0};
  double answers{0};
  double mean_ms{0};
  double median_ms{0};
  std::size_t reporters{0};
};

/// Whether a target that returns from an ejection fails again, by what was seen
/// since. Unless it is the only one to have sent requests, one instance alone
/// can't decide that.
bool FailsAgain(const TargetEvidence& since_return);
/// Whether instances that don't list the target have probably seen its answers.
bool AnswersUnlisted(const TargetGroup& group, TargetIndex target);
/// Whether what these instances have seen supports another's decision that the
/// target is an outlier.
bool SupportsOutlier(const TargetEvidence& evidence, double median_ms);

/// Compares one target with its group. A service that is slow or failing as a
/// whole, and a target of which only one instance reports failures while others
/// get its answers, count as healthy.
OutlierEvaluation Evaluate(const TargetGroup& group, TargetIndex target);

}  // namespace sassafrasdyke::core

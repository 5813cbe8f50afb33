/// Compares targets of one group by what all instances of the domain have
/// observed of them. Decides without state.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/health/target_observations.h"
#include "core/health/target_reports.h"
#include "core/health/target_weights.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// What one instance has seen of a target.
struct EvidenceSource {
  double requests{0};
  double failures{0};
  double answers{0};
  double mean_ms{0};

  bool Slow(double median_ms) const {
    return this->answers > 0 && this->mean_ms > kNotableSlowness * median_ms;
  }
};

EvidenceSource SourceOf(const TargetCounts& counts);
EvidenceSource SourceOf(const TargetReport& report);

/// What all have seen of it.
struct TargetEvidence {
  std::vector<EvidenceSource> sources;
  std::size_t reporters{0};  ///< Other instances that list the target.

  EvidenceSource Total() const;
};

/// Targets that are compared with each other.
struct TargetGroup {
  std::unordered_map<TargetIndex, TargetEvidence> targets;
  std::size_t serving{0};  ///< Number of targets that accept new flows.
  double median_ms{0};     ///< Of mean times; 0 while unknown.
  /// Requests that an instance sends to a target in two seconds.
  double mean_requests{0};
  /// Other instances whose list would contain a target that is worse than
  /// others.
  std::size_t informed{0};
  std::size_t informed_lately{0};  ///< Those heard in the last second.
  /// Failure fractions of all targets, ascending.
  std::vector<double> failure_fractions;
};

/// How a target compares with its group.
struct OutlierVerdict {
  OutlierState state{OutlierState::kHealthy};
  double weight{1.0};
  double requests{0};  ///< Includes estimated ones.
  double failures{0};
  double answers{0};
  double mean_ms{0};
  double median_ms{0};
  std::size_t reporters{0};
};

/// What this instance itself has counted.
struct OwnEvidence {
  const CountsByTarget& counts;
  /// Whether the counts show how many requests an instance sends.
  bool knows_rate{false};
};

/// Collects the evidence. Visits only targets with observations.
std::map<TargetGroupKey, TargetGroup> GroupEvidence(
    const OwnEvidence& own, const TargetReports::BySender& reports,
    const TargetTable& targets, std::chrono::milliseconds now);

/// Whether a target that returns from an ejection fails again, by what was seen
/// since. Unless it is the only one to have sent requests, one instance alone
/// can't decide that.
bool FailsAgain(const TargetEvidence& since_return);
/// Whether instances that don't list the target have probably seen its answers.
bool AnswersUnlisted(const TargetGroup& group, TargetIndex target);
/// Whether what these instances have seen supports another's decision that the
/// target is an outlier.
bool SupportsOutlier(const TargetEvidence& evidence, double median_ms);

/// Judges one target of the group. A service that is slow or failing as a
/// whole, and a target of which only one instance reports failures while others
/// get its answers, count as healthy.
OutlierVerdict Judge(const TargetGroup& group, TargetIndex target);

}  // namespace sassafrasdyke::core

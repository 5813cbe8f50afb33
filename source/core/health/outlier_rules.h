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

/// Collects the evidence. Visits only targets with observations.
std::map<TargetGroupKey, TargetGroup> GroupEvidence(
    const CountsByTarget& own, const TargetReports::BySender& reports,
    const TargetTable& targets);

/// Judges one target of the group. A service that is slow or failing as a
/// whole, and a target of which only one instance reports failures while others
/// get its answers, count as healthy.
OutlierVerdict Judge(const TargetGroup& group, TargetIndex target);

}  // namespace sassafrasdyke::core

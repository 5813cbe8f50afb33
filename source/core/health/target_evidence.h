/// What all instances of the domain have observed of targets, by the groups in
/// which targets are compared.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/health/target_observations.h"
#include "core/health/target_reports.h"
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

using TargetGroups = std::map<TargetGroupKey, TargetGroup>;

/// Failed requests, as a fraction; 0 without requests.
double FailureFraction(const EvidenceSource& total);
/// Estimates the requests of instances that don't list the target, as they have
/// seen no failures of it. Without them, the few requests of those who have
/// would make a target with rare failures look like a failing one.
double UnlistedRequests(const TargetGroup& group,
                        const TargetEvidence& evidence);
/// The total with what isn't listed.
EvidenceSource WholeTotal(const TargetGroup& group,
                          const TargetEvidence& evidence);

/// What this instance itself has counted.
struct OwnEvidence {
  const CountsByTarget& counts;
  /// Whether the counts show how many requests an instance sends.
  bool knows_rate{false};
};

/// Collects the evidence. Visits only targets with observations.
TargetGroups GroupEvidence(const OwnEvidence& own,
                           const TargetReports::BySender& reports,
                           const TargetTable& targets,
                           std::chrono::milliseconds now);

}  // namespace sassafrasdyke::core

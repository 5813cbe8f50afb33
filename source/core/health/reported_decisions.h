/// What other instances have decided about targets, and whether that is to be
/// adopted.
#pragma once

#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "core/health/outlier_records.h"
#include "core/health/target_evidence.h"
#include "core/health/target_reports.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Decisions of others about one target.
struct ReportedDecision {
  std::size_t reporters{0};
  double weight{0};  ///< The largest that they give it.
  std::chrono::milliseconds decided_at{0};
  bool others_see_failures{false};
  bool others_see_answers{false};

  /// A decision of one instance counts only if somebody else saw the same, or
  /// no other saw the target answer; else one instance could eject any target.
  bool Credible() const {
    return this->reporters > 1 || this->others_see_failures ||
           !this->others_see_answers;
  }
};

using ReportedDecisions = std::unordered_map<TargetIndex, ReportedDecision>;

/// Collects the decisions that were made since the last ejection of their
/// target ended here. `counts`: the own ones, which `groups` contains.
ReportedDecisions CollectDecisions(const TargetReports& reports,
                                   const OutlierRecords& records,
                                   const TargetGroups& groups,
                                   const CountsByTarget& counts,
                                   const TargetTable& targets);

}  // namespace sassafrasdyke::core

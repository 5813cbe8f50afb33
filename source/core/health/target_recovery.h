/// Gives targets that were outliers their share of new flows again: trial flows
/// after an ejection, then a growing share.
#pragma once

#include <chrono>

#include "core/fleet/jitter.h"
#include "core/health/outlier_records.h"
#include "core/health/target_evidence.h"
#include "core/health/target_observations.h"
#include "core/health/target_reports.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class TargetRecovery {
 public:
  using Time = std::chrono::milliseconds;

  /// The references must outlive this.
  TargetRecovery(const TargetObservations& own, const TargetReports& reports,
                 Jitter& random)
      : own(own), reports(reports), random(random) {}

  /// Applies what time and the requests since the return change. `counts`: the
  /// own counts; without any, own observations don't count.
  void AgeRecords(OutlierRecords& records, const CountsByTarget& counts,
                  Time now) const;
  /// Allows trial flows, `elapsed` after the last call. `instances`: of the
  /// domain.
  void OpenTrials(OutlierRecords& records, double instances, Time elapsed);
  /// Whether a trial flow may be placed at a target in its trial.
  bool AllowsTrial(TargetIndex target, const OutlierRecord& record) const {
    return record.trial_open && this->own.Openings(target) <= record.openings;
  }

 private:
  void AgeFailing(TargetIndex target, OutlierRecord& record, Time now) const;
  void AgeReturning(OutlierRecords& records, TargetIndex target,
                    OutlierRecord& record, const CountsByTarget& counts,
                    Time now) const;
  /// What has been seen of the target since it returned.
  TargetEvidence EvidenceSince(TargetIndex target, Time since,
                               const CountsByTarget& counts, Time now) const;

  const TargetObservations& own;
  const TargetReports& reports;
  Jitter& random;
};

}  // namespace sassafrasdyke::core

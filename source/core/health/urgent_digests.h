/// When others should hear of this instance's observations before its next
/// digest.
#pragma once

#include <chrono>
#include <optional>

#include "common/token_bucket.h"
#include "core/fleet/jitter.h"
#include "core/health/target_evidence.h"
#include "core/health/target_reports.h"
#include "core/health/target_weights.h"
#include "core/load/observation_exchange.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class UrgentDigests {
 public:
  using Time = std::chrono::milliseconds;

  /// The references must outlive this.
  UrgentDigests(const TargetTable& targets, const TargetReports& reports,
                Jitter& random);

  /// This instance has found that the target is an outlier, whose last ejection
  /// ended at `former_end`: tells the domain, unless it has heard so.
  void OnOutlier(TargetIndex target, std::optional<Time> former_end);
  /// Tells the readers of targets with failures or long times that aren't known
  /// to be outliers. `instances`: of the domain.
  void OnTick(const CountsByTarget& counts, const TargetGroups& groups,
              const TargetWeights& weights, double instances, Time now);
  /// Who should get a digest, since the last call.
  std::optional<UrgentReceivers> Take();

 private:
  /// Whether other instances already report the target as an outlier, by a
  /// decision that is newer than its last ejection.
  bool IsReported(TargetIndex target, std::optional<Time> former_end) const;

  const TargetTable& targets;
  const TargetReports& reports;
  Jitter& random;
  std::optional<UrgentReceivers> receivers;
  std::optional<Time> readers_notified_at;
  common::TokenBucket reader_digests;
};

}  // namespace sassafrasdyke::core

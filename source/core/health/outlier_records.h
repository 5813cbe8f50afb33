/// Which targets are outliers, and what part of new flows they get.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/health/health_change.h"
#include "core/health/outlier_rules.h"
#include "core/health/target_weights.h"
#include "core/health/urgent_digests.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// How long a decision that a target is slow counts without being confirmed.
inline constexpr std::chrono::milliseconds kSlowDecisionRetention{10'000};
/// Least weight of a target that returns with a growing share.
inline constexpr double kMinReturningWeight = 0.1;

/// A target that is or lately was an outlier. Times are monotonic.
struct OutlierRecord {
  using Time = std::chrono::milliseconds;

  OutlierState state{OutlierState::kHealthy};
  double weight{1.0};
  Time since{0};       ///< Of the state.
  Time decided_at{0};  ///< When the state was last confirmed.
  /// Whether this instance's own knowledge confirms the state, so that it may
  /// be reported.
  bool supported{false};
  bool trial{false};          ///< While returning: single flows only.
  bool trial_open{false};     ///< A trial flow may be placed.
  std::uint32_t openings{0};  ///< When the trial flow was allowed.
  /// Ejections without a longer time of health between.
  unsigned ejections{0};
  std::optional<Time> ejection_ended;
  OutlierEvaluation evidence{};
};

/// Times are monotonic.
class OutlierRecords {
 public:
  using Time = std::chrono::milliseconds;
  using ByTarget = std::unordered_map<TargetIndex, OutlierRecord>;

  /// `max_ejected`: maximum fraction of a service's targets in a domain that
  /// failures eject. Adds to `changes`; the references must outlive this.
  OutlierRecords(const TargetTable& targets, double max_ejected,
                 UrgentDigests& urgent, HealthChanges& changes)
      : targets(targets),
        max_ejected(max_ejected),
        urgent(urgent),
        changes(changes) {}

  /// Null for a target that is no outlier and was none lately.
  const OutlierRecord* Find(TargetIndex target) const;
  OutlierState StateOf(TargetIndex target) const;
  /// When the target's last ejection ended; nothing without one.
  std::optional<Time> EjectionEnd(TargetIndex target) const;
  const ByTarget& All() const { return this->records; }
  ByTarget& All() { return this->records; }

  /// Forgets targets that have been healthy for long.
  void Expire(Time now);
  /// Forgets targets that accept no flows.
  void ForgetUnpublished();

  /// Whether the target's service may lose another one in its domain.
  bool MayEject(TargetIndex target) const;
  /// `decided_at`: when the instance that decided it did so.
  void Eject(TargetIndex target, const OutlierEvaluation& evaluation,
             Time decided_at, Time now);
  void SetSlow(TargetIndex target, double weight, Time decided_at,
               const OutlierEvaluation& evaluation, Time now);
  /// Newer answers show that a slow target is still slow.
  void ConfirmSlow(TargetIndex target, double weight, Time now);
  void SetSupported(TargetIndex target, bool supported);
  /// Begins the return of a target, with trial flows or with a growing share.
  static void Return(OutlierRecord& record, bool trial, Time now);
  /// Begins the return of a target that is no longer slow.
  void EndSlow(TargetIndex target, Time now);
  /// The target has returned.
  void SetHealthy(TargetIndex target, Time now);

 private:
  const TargetTable& targets;
  const double max_ejected;
  UrgentDigests& urgent;
  HealthChanges& changes;
  ByTarget records;
};

}  // namespace sassafrasdyke::core

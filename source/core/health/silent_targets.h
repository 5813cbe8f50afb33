/// Targets that don't answer, by the probes of this instance or the reports of
/// others.
#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/health/health_change.h"
#include "core/health/target_observations.h"
#include "core/health/target_reports.h"
#include "core/steering/target_watch.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Times are monotonic.
class SilentTargets {
 public:
  using Time = std::chrono::milliseconds;

  /// Adds to `changes`; the references must outlive this.
  SilentTargets(const TargetTable& targets, const TargetReports& reports,
                HealthChanges& changes)
      : targets(targets), reports(reports), changes(changes) {}

  /// Returns the targets that own probes have confirmed to be silent since the
  /// last call. Requests probes of those that others report.
  std::vector<TargetIndex> OnTick(TargetWatch& watch, Time now);
  /// Whether new flows avoid the target.
  bool Avoids(TargetIndex target) const;
  std::vector<TargetIndex> Avoided() const;
  /// Those that own probes have confirmed, for a digest.
  std::vector<TargetStatus> Confirmed(Time now) const;

 private:
  struct SilentTarget {
    bool confirmed{false};  ///< By own probes.
    Time since{0};
    std::optional<Time> reported_at;  ///< First report by others.
    Time heard_at{0};                 ///< Last report by others.
    std::optional<Time> probe_requested_at;
    bool avoided{false};
  };

  void NoteReports(Time now);
  void EndSilences(TargetWatch& watch, Time now);
  /// Whether the target has shown life to this instance since it was reported,
  /// or just now.
  static bool ShowsLife(const TargetWatch& watch, TargetIndex target,
                        const SilentTarget& silent, Time now);

  const TargetTable& targets;
  const TargetReports& reports;
  HealthChanges& changes;
  std::unordered_map<TargetIndex, SilentTarget> silent;
};

}  // namespace sassafrasdyke::core

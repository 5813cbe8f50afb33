/// Detects slow, failing and silent targets from the observations of all
/// instances of a failure domain, and gives them fewer new flows.
///
/// One of many instances sends a target too few requests to detect an outlier
/// by their outcome within seconds. The counts of all are enough: instances
/// report their worst targets to each other, and one that has enough counts to
/// decide on a target reports its decision as well.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/fleet/jitter.h"
#include "core/health/health_change.h"
#include "core/health/outlier_records.h"
#include "core/health/reported_decisions.h"
#include "core/health/silent_targets.h"
#include "core/health/target_observations.h"
#include "core/health/target_recovery.h"
#include "core/health/target_reports.h"
#include "core/health/target_weights.h"
#include "core/health/urgent_digests.h"
#include "core/load/fleet_load.h"
#include "core/load/observation_exchange.h"
#include "core/load/resume_filter.h"
#include "core/steering/target_watch.h"

namespace sassafrasdyke::core {

/// Computed at ticks, ten a second; lookups only read. Times are monotonic.
class OutlierDetector final : public TargetWeights, public ObservationExchange {
 public:
  /// `max_ejected`: maximum fraction of a service's targets in a domain that
  /// failures eject. `seed` must differ between instances. The references must
  /// outlive this.
  OutlierDetector(std::string domain, const TargetTable& targets,
                  const FleetLoad& load, TargetObservations& own,
                  double max_ejected, std::uint64_t seed);
  OutlierDetector(const OutlierDetector&) = delete;
  OutlierDetector& operator=(const OutlierDetector&) = delete;

  double WeightOf(TargetIndex target) const override;
  OutlierState StateOf(TargetIndex target) const override;

  void Append(PeerObservations& observations,
              std::chrono::milliseconds now) override;
  void OnObservations(const common::Endpoint& sender, const std::string& domain,
                      const PeerObservations& observations,
                      std::chrono::milliseconds now) override;

  /// The process was paused for `length`: digests that waited in its socket are
  /// discarded.
  void OnPause(std::chrono::milliseconds length, std::chrono::milliseconds now);
  /// Decides on all targets. Requests probes of those that others report as
  /// silent.
  void OnTick(TargetWatch& watch, std::chrono::milliseconds now);
  /// Whether others should hear of this instance before its next digest, since
  /// the last call.
  std::optional<UrgentReceivers> TakeUrgent();
  /// Returns the changes since the last call.
  HealthChanges TakeChanges();
  /// Number of targets that accept new flows, by state.
  std::map<std::string_view, std::size_t> CountByState() const;

 private:
  using Time = std::chrono::milliseconds;

  /// Decides on the targets of a group by all observations.
  void EvaluateGroup(const TargetGroup& group, Time now);
  /// Decides by newer answers whether a slow target is still slow.
  void EvaluateSlow(TargetIndex target, const TargetGroup& group, Time now);
  void AdoptDecision(TargetIndex target, const ReportedDecision& reported,
                     const OutlierEvaluation& evaluation, Time now);
  /// The short period when the domain sends each target enough requests in it.
  Time CountPeriod(Time now) const;
  double DomainInstances() const;

  const std::string domain;
  const TargetTable& targets;
  const FleetLoad& load;
  TargetObservations& own;
  Jitter random;
  ResumeFilter resume_filter;
  TargetReports reports;
  HealthChanges changes;
  UrgentDigests urgent;
  OutlierRecords records;
  TargetRecovery recovery;
  SilentTargets silent;
  std::optional<Time> ticked_at;
  Time period{kLongPeriod};  ///< Of requests and failures.
};

}  // namespace sassafrasdyke::core

/// Detects slow, failing and silent targets from the observations of all
/// instances of a failure domain, and gives them fewer new flows.
///
/// One of many instances sends a target too few requests to judge it by their
/// outcome within seconds. The counts of all are enough: instances report their
/// worst targets to each other, and one that has enough counts to judge a
/// target reports its verdict as well.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/token_bucket.h"
#include "core/fleet/jitter.h"
#include "core/health/outlier_rules.h"
#include "core/health/target_observations.h"
#include "core/health/target_reports.h"
#include "core/health/target_weights.h"
#include "core/load/fleet_load.h"
#include "core/load/observation_exchange.h"
#include "core/load/resume_filter.h"
#include "core/steering/target_watch.h"

namespace sassafrasdyke::core {

/// Kinds of changes of a target's health.
enum class HealthEvent : std::uint8_t {
  kEjected,  ///< Gets no new flows.
  kSlow,     ///< Gets fewer of them.
  kBack,     ///< Gets its share again.
};

/// Name of the event in the log.
std::string_view Word(HealthEvent event);

/// A change of a target's health, for the log.
struct HealthChange {
  TargetIndex target;
  HealthEvent event{HealthEvent::kEjected};
  /// The state that begins, or that has ended.
  OutlierState why{OutlierState::kHealthy};
  OutlierVerdict evidence;
};

/// Computed at ticks, ten a second; lookups only read. Times are monotonic.
class OutlierDetector final : public TargetWeights, public ObservationExchange {
 public:
  /// `max_ejected`: maximum fraction of a service's targets in a domain that
  /// failures eject. `seed` must differ between instances. The references must
  /// outlive this.
  OutlierDetector(std::string domain, const TargetTable& targets,
                  const FleetLoad& load, TargetObservations& own,
                  double max_ejected, std::uint64_t seed);

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
  /// Judges all targets. Requests probes of those that others report as silent.
  void OnTick(TargetWatch& watch, std::chrono::milliseconds now);
  /// Whether others should hear of this instance before its next digest, since
  /// the last call.
  std::optional<UrgentReceivers> TakeUrgent();
  /// Returns the changes since the last call.
  std::vector<HealthChange> TakeChanges();
  /// Number of targets that accept new flows, by state.
  std::map<std::string_view, std::size_t> CountByState() const;

 private:
  using Time = std::chrono::milliseconds;

  /// A target that is or lately was an outlier.
  struct Record {
    OutlierState state{OutlierState::kHealthy};
    double weight{1.0};
    Time since{0};      ///< Of the state.
    Time judged_at{0};  ///< When the verdict was last confirmed.
    /// Whether this instance's own knowledge supports the verdict, so that
    /// it may be reported.
    bool supported{false};
    bool trial{false};          ///< While returning: single flows only.
    bool trial_open{false};     ///< A trial flow may be placed.
    std::uint32_t openings{0};  ///< When the trial flow was allowed.
    /// Ejections without a longer time of health between.
    unsigned ejections{0};
    std::optional<Time> ejection_ended;
    OutlierVerdict evidence{};
  };
  /// A target that doesn't answer.
  struct SilentTarget {
    bool confirmed{false};  ///< By own probes.
    Time since{0};
    std::optional<Time> reported_at;  ///< First report by others.
    Time heard_at{0};                 ///< Last report by others.
    std::optional<Time> probe_requested_at;
    bool avoided{false};
  };
  /// Verdicts of others about one target.
  struct ReportedVerdict {
    std::size_t reporters{0};
    double weight{0};
    Time judged_at{0};
    bool others_see_failures{false};
    bool others_see_answers{false};
  };
  using Groups = std::map<TargetGroupKey, TargetGroup>;

  void UpdateSilent(TargetWatch& watch, Time now);
  void NoteSilentReports(Time now);
  void EndSilences(TargetWatch& watch, Time now);
  /// Whether the target has shown life to this instance since it was reported,
  /// or just now.
  static bool ShowsLife(const TargetWatch& watch, TargetIndex target,
                        const SilentTarget& silent, Time now);
  void ForgetUnpublished();
  /// Applies what time and trial flows change.
  void AgeRecords(const CountsByTarget& counts, Time now);
  void AgeFailing(TargetIndex target, Record& record, Time now);
  void AgeReturning(TargetIndex target, Record& record,
                    const CountsByTarget& counts, Time now);
  void OpenTrials(Time elapsed);
  void JudgeGroup(const TargetGroup& group, Time now);
  void KeepOrEndSlow(TargetIndex target, Record& record,
                     const TargetGroup& group, Time now);
  std::unordered_map<TargetIndex, ReportedVerdict> CollectReported(
      const Groups& groups, const CountsByTarget& counts) const;
  void AdoptReported(TargetIndex target, const ReportedVerdict& reported,
                     const OutlierVerdict& verdict, Time now);
  /// What has been seen of the target since it returned; of this instance only
  /// if `counts`, the own counts, are to be used.
  TargetEvidence EvidenceSince(TargetIndex target, Time since,
                               const CountsByTarget& counts, Time now) const;
  /// Whether the verdict was made before the target's last ejection ended.
  bool IsOutdated(const TargetReport& report) const;
  /// Whether the target's service may lose another one in its domain.
  bool MayEject(TargetIndex target) const;
  void Eject(TargetIndex target, const OutlierVerdict& verdict, Time judged_at,
             Time now);
  void SetSlow(TargetIndex target, double weight, Time judged_at,
               const OutlierVerdict& verdict, Time now);
  void Return(Record& record, bool trial, Time now);
  /// Whether other instances already report a verdict about the target that is
  /// newer than its last ejection.
  bool IsReported(TargetIndex target) const;
  void WantDigest(const CountsByTarget& counts, const Groups& groups, Time now);
  /// The short period when the domain sends each target enough requests in it.
  Time CountPeriod(Time now) const;
  double DomainInstances() const;

  const std::string domain;
  const TargetTable& targets;
  const FleetLoad& load;
  TargetObservations& own;
  const double max_ejected;
  Jitter random;
  ResumeFilter resume_filter;
  TargetReports reports;
  std::unordered_map<TargetIndex, Record> records;
  std::unordered_map<TargetIndex, SilentTarget> silent;
  std::vector<HealthChange> changes;
  std::optional<UrgentReceivers> urgent;
  std::optional<Time> readers_notified_at;
  common::TokenBucket reader_digests;
  std::optional<Time> ticked_at;
  Time period{kLongPeriod};  ///< Of requests and failures.
};

}  // namespace sassafrasdyke::core

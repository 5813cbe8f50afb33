#include "core/health/target_recovery.h"

#include <algorithm>

#include "core/health/random_draw.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstEjection{2000};
constexpr milliseconds kMaxEjection{16'000};
/// After this many doublings the longest ejection is reached.
constexpr unsigned kMaxDoublings = 3;

/// Interval of trial flows, of all instances of the domain together.
constexpr milliseconds kTrialInterval{1000};
/// A failed request shows up to 0.6 s later, and digests take a second.
constexpr milliseconds kMinTrial{2000};
/// A trial without enough evidence ends after this time.
constexpr milliseconds kMaxTrial{5000};
/// Requests without a failure that end a trial.
constexpr double kTrialSuccesses = 3;
constexpr milliseconds kSlowStart{2000};

milliseconds EjectionTime(unsigned ejections) {
  const unsigned doublings =
      std::min(std::max(ejections, 1U) - 1, kMaxDoublings);
  return std::min(kFirstEjection * (1U << doublings), kMaxEjection);
}

}  // namespace

void TargetRecovery::AgeRecords(OutlierRecords& records,
                                const CountsByTarget& counts, Time now) const {
  for (auto& [target, record] : records.All()) {
    if (record.state == OutlierState::kFailing) {
      this->AgeFailing(target, record, now);
    } else if (record.state == OutlierState::kReturning) {
      this->AgeReturning(records, target, record, counts, now);
    } else if (record.state == OutlierState::kSlow &&
               now - record.decided_at > kSlowDecisionRetention) {
      OutlierRecords::Return(record, false, now);
    }
  }
  records.Expire(now);
}

void TargetRecovery::AgeFailing(TargetIndex target, OutlierRecord& record,
                                Time now) const {
  if (now - record.since < EjectionTime(record.ejections)) {
    return;
  }
  record.ejection_ended = now;
  record.openings = this->own.Openings(target);
  OutlierRecords::Return(record, true, now);
}

void TargetRecovery::AgeReturning(OutlierRecords& records, TargetIndex target,
                                  OutlierRecord& record,
                                  const CountsByTarget& counts,
                                  Time now) const {
  const Time since = record.ejection_ended.value_or(record.since);
  const TargetEvidence evidence =
      this->EvidenceSince(target, since, counts, now);
  const EvidenceSource total = evidence.Total();
  if (FailsAgain(evidence) && records.MayEject(target)) {
    OutlierEvaluation evaluation = record.evidence;
    evaluation.requests = total.requests;
    evaluation.failures = total.failures;
    records.Eject(target, evaluation, now, now);
    return;
  }
  const Time elapsed = now - record.since;
  if (record.trial) {
    const bool proven = total.requests - total.failures >= kTrialSuccesses;
    if (elapsed >= kMaxTrial || (proven && elapsed >= kMinTrial)) {
      OutlierRecords::Return(record, false, now);
    }
    return;
  }
  if (elapsed >= kSlowStart) {
    records.SetHealthy(target, now);
    return;
  }
  const double part = static_cast<double>(elapsed.count()) /
                      static_cast<double>(kSlowStart.count());
  record.weight = std::max({part, record.weight, kMinReturningWeight});
}

TargetEvidence TargetRecovery::EvidenceSince(TargetIndex target, Time since,
                                             const CountsByTarget& counts,
                                             Time now) const {
  TargetEvidence evidence;
  // Without counts they show a fault of this instance, as when most targets
  // fail.
  if (!counts.empty()) {
    evidence.sources.push_back(
        SourceOf(this->own.CountsOf(target, now, since)));
  }
  for (const auto& [sender, report] : this->reports.All()) {
    // Earlier reports contain requests from before.
    if (report.received_at < since + kLongPeriod) {
      continue;
    }
    const auto one =
        std::ranges::find(report.targets, target, &TargetReport::target);
    if (one != report.targets.end()) {
      evidence.sources.push_back(SourceOf(*one));
    }
  }
  return evidence;
}

// Each instance allows a trial flow as often as makes one per interval for the
// domain, if all know its number of instances.
void TargetRecovery::OpenTrials(OutlierRecords& records, double instances,
                                Time elapsed) {
  const double probability = static_cast<double>(elapsed.count()) /
                             static_cast<double>(kTrialInterval.count()) /
                             instances;
  for (auto& [target, record] : records.All()) {
    if (record.state != OutlierState::kReturning || !record.trial) {
      continue;
    }
    const std::uint32_t openings = this->own.Openings(target);
    record.openings = std::min(record.openings, openings);
    record.trial_open = record.trial_open && openings <= record.openings;
    if (!record.trial_open && Draw(this->random, probability)) {
      record.trial_open = true;
      record.openings = openings;
    }
  }
}

}  // namespace sassafrasdyke::core

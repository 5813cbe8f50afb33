#include "core/health/outlier_detector.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// A slow target gets few flows, so fewer answers decide whether it stays so.
constexpr double kMinAnswersToKeepSlow = 2;
/// Requests of the domain to a target in the long period from which a second is
/// enough: twice what a decision needs.
constexpr double kRequestsForShortPeriod = 40;

}  // namespace

OutlierDetector::OutlierDetector(std::string domain, const TargetTable& targets,
                                 const FleetLoad& load, TargetObservations& own,
                                 double max_ejected, std::uint64_t seed)
    : domain(std::move(domain)),
      targets(targets),
      load(load),
      own(own),
      random(seed),
      urgent(targets, this->reports, this->random),
      records(targets, max_ejected, this->urgent, this->changes),
      recovery(own, this->reports, this->random),
      silent(targets, this->reports, this->changes) {}

double OutlierDetector::WeightOf(TargetIndex target) const {
  if (this->silent.Avoids(target)) {
    return 0;
  }
  const OutlierRecord* const record = this->records.Find(target);
  if (record == nullptr) {
    return 1.0;
  }
  if (record->state == OutlierState::kReturning && record->trial) {
    return this->recovery.AllowsTrial(target, *record) ? 1.0 : 0.0;
  }
  return record->weight;
}

OutlierState OutlierDetector::StateOf(TargetIndex target) const {
  return this->silent.Avoids(target) ? OutlierState::kSilent
                                     : this->records.StateOf(target);
}

void OutlierDetector::Append(PeerObservations& observations, Time now) {
  std::vector<TargetStatus> listed = this->silent.Confirmed(now);
  for (const auto& [target, record] : this->records.All()) {
    const bool is_silent = this->StateOf(target) == OutlierState::kSilent;
    if (is_silent || record.state == OutlierState::kHealthy) {
      continue;
    }
    const bool back = record.state == OutlierState::kReturning && !record.trial;
    const bool reported = record.supported && !back;
    // A returning target is reported as well, though it may be healthy.
    listed.push_back({target, false, reported ? record.weight : 1.0,
                      reported ? now - record.decided_at : Time{0}});
  }
  observations.targets = this->own.Worst(std::move(listed), now, this->period);
}

void OutlierDetector::OnObservations(const common::Endpoint& sender,
                                     const std::string& domain,
                                     const PeerObservations& observations,
                                     Time now) {
  // A digest without room for observations is no report.
  if (domain == this->domain && !observations.Empty() &&
      !this->resume_filter.Discards(now)) {
    this->reports.Take(sender, observations, this->targets, now);
  }
}

void OutlierDetector::OnPause(Time length, Time now) {
  this->resume_filter.OnPause(length, now);
}

void OutlierDetector::OnTick(TargetWatch& watch, Time now) {
  const Time elapsed = now - std::exchange(this->ticked_at, now).value_or(now);
  this->own.Expire(now);
  this->reports.Expire(now);
  for (const TargetIndex target : this->silent.OnTick(watch, now)) {
    this->urgent.OnOutlier(target, this->records.EjectionEnd(target));
  }
  this->records.ForgetUnpublished();
  this->period = this->CountPeriod(now);
  const CountsByTarget counts = this->own.Counts(now, this->period);
  this->recovery.AgeRecords(this->records, counts, now);
  this->recovery.OpenTrials(this->records, this->DomainInstances(), elapsed);
  const TargetGroups groups =
      GroupEvidence({counts, this->own.KnowsRate(now)}, this->reports.All(),
                    this->targets, now);
  for (const auto& [key, group] : groups) {
    this->EvaluateGroup(group, now);
  }
  for (const auto& [target, reported] : CollectDecisions(
           this->reports, this->records, groups, counts, this->targets)) {
    const auto group = groups.find(GroupOf(this->targets.At(target).published));
    OutlierEvaluation evaluation = Evaluate(group->second, target);
    evaluation.reporters = reported.reporters;
    this->AdoptDecision(target, reported, evaluation, now);
  }
  this->urgent.OnTick(counts, groups, *this, this->DomainInstances(), now);
}

std::optional<UrgentReceivers> OutlierDetector::TakeUrgent() {
  return this->urgent.Take();
}

HealthChanges OutlierDetector::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::map<std::string_view, std::size_t> OutlierDetector::CountByState() const {
  constexpr std::array kStates{OutlierState::kHealthy, OutlierState::kSlow,
                               OutlierState::kFailing, OutlierState::kSilent,
                               OutlierState::kReturning};
  std::map<std::string_view, std::size_t> counts;
  for (const OutlierState state : kStates) {
    counts[Word(state)] = 0;
  }
  std::size_t outliers = 0;
  const auto count = [&](TargetIndex target) {
    if (const OutlierState state = this->StateOf(target);
        state != OutlierState::kHealthy) {
      ++counts[Word(state)];
      ++outliers;
    }
  };
  for (const auto& [target, record] : this->records.All()) {
    count(target);
  }
  for (const TargetIndex target : this->silent.Avoided()) {
    if (this->records.Find(target) == nullptr) {
      count(target);
    }
  }
  const std::size_t serving = this->targets.ServingCount();
  counts[Word(OutlierState::kHealthy)] = serving - std::min(outliers, serving);
  return counts;
}

void OutlierDetector::EvaluateGroup(const TargetGroup& group, Time now) {
  std::vector<std::pair<TargetIndex, OutlierEvaluation>> failing;
  for (const auto& [target, evidence] : group.targets) {
    if (!this->targets.AcceptsFlows(target)) {
      continue;
    }
    const OutlierState state = this->StateOf(target);
    if (state != OutlierState::kHealthy && state != OutlierState::kSlow) {
      continue;
    }
    const OutlierEvaluation evaluation = Evaluate(group, target);
    if (evaluation.state == OutlierState::kFailing) {
      failing.emplace_back(target, evaluation);
    } else if (evaluation.state == OutlierState::kSlow) {
      this->records.SetSlow(target, evaluation.weight, now, evaluation, now);
    } else if (state == OutlierState::kSlow) {
      this->EvaluateSlow(target, group, now);
    }
  }
  std::ranges::sort(failing, [](const auto& a, const auto& b) {
    return a.second.failures * b.second.requests >
           b.second.failures * a.second.requests;
  });
  for (const auto& [target, evaluation] : failing) {
    if (this->records.MayEject(target)) {
      this->records.Eject(target, evaluation, now, now);
    }
  }
}

void OutlierDetector::EvaluateSlow(TargetIndex target, const TargetGroup& group,
                                   Time now) {
  const EvidenceSource total = group.targets.at(target).Total();
  if (total.answers < kMinAnswersToKeepSlow || group.median_ms <= 0) {
    return;
  }
  if (total.Slow(group.median_ms)) {
    this->records.ConfirmSlow(target, group.median_ms / total.mean_ms, now);
  } else {
    this->records.EndSlow(target, now);
  }
}

void OutlierDetector::AdoptDecision(TargetIndex target,
                                    const ReportedDecision& reported,
                                    const OutlierEvaluation& evaluation,
                                    Time now) {
  const OutlierState state = this->StateOf(target);
  if (!reported.Credible() || !this->targets.AcceptsFlows(target) ||
      state == OutlierState::kSilent || state == OutlierState::kFailing) {
    return;
  }
  if (reported.weight > 0) {
    const OutlierRecord* const record = this->records.Find(target);
    const bool newer =
        record == nullptr || reported.decided_at > record->decided_at;
    if (newer && now - reported.decided_at <= kSlowDecisionRetention &&
        state != OutlierState::kReturning) {
      this->records.SetSlow(target, reported.weight, reported.decided_at,
                            evaluation, now);
      this->records.SetSupported(target, reported.others_see_failures);
    }
    return;
  }
  if (this->records.MayEject(target)) {
    this->records.Eject(target, evaluation, reported.decided_at, now);
    this->records.SetSupported(target, reported.others_see_failures);
  }
}

milliseconds OutlierDetector::CountPeriod(Time now) const {
  double requests = 0;
  const CountsByTarget counts = this->own.Counts(now, kLongPeriod);
  for (const auto& [target, sum] : counts) {
    requests += sum.requests;
  }
  const double per_target =
      requests / static_cast<double>(std::max<std::size_t>(counts.size(), 1));
  return per_target * this->DomainInstances() >= kRequestsForShortPeriod
             ? kShortPeriod
             : kLongPeriod;
}

double OutlierDetector::DomainInstances() const {
  const std::size_t heard = this->reports.All().size() + 1;
  return static_cast<double>(
      std::max(this->load.DomainInstances().value_or(1), heard));
}

}  // namespace sassafrasdyke::core

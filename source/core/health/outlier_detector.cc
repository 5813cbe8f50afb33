#include "core/health/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstEjection{2000};
constexpr milliseconds kMaxEjection{16'000};
/// After this many doublings the longest ejection is reached.
constexpr unsigned kMaxDoublings = 3;
/// Health of this length ends the doubling.
constexpr milliseconds kBackoffMemory{16'000};

/// Interval of trial flows, of all instances of the domain together.
constexpr milliseconds kTrialInterval{1000};
/// A failed request shows up to 0.6 s later, and digests take a second.
constexpr milliseconds kMinTrial{2000};
/// A trial without enough evidence ends after this time.
constexpr milliseconds kMaxTrial{5000};
/// Requests without a failure that end a trial.
constexpr double kTrialSuccesses = 3;
constexpr milliseconds kSlowStart{2000};
constexpr double kMinSlowStartWeight = 0.1;

/// A slow target gets few flows, so fewer answers decide whether it stays so.
constexpr double kMinAnswersToKeepSlow = 2;
/// A slow target without new answers returns after this time.
constexpr milliseconds kSlowMemory{10'000};
/// Weight of the slowest target, so that it goes on being measured.
constexpr double kMinSlowWeight = 0.02;

/// How long a report of silence counts.
constexpr milliseconds kSilenceRetention{3000};
/// An answer or a successful probe refutes reports of silence for this time.
constexpr milliseconds kLifeRetention{2000};
constexpr milliseconds kProbeRequestInterval{1000};

/// Minimum time between two urgent digests to the readers.
constexpr milliseconds kUrgentInterval{500};
/// Number of instances of a domain that send such a digest in each interval.
constexpr double kMaxUrgentSenders = 30;
/// Urgent digests to the readers: six at once, then one in ten seconds. Some
/// requests always fail, and must not cost a digest each.
constexpr std::size_t kTokensOfDigest = 10;
constexpr common::BucketLimits kUrgentDigests{1, 6 * kTokensOfDigest};
/// Answers this many medians above what is notable are worth an urgent digest.
constexpr double kAlarmingExcess = 8.0;
/// Requests of the domain to a target in the long period from which a second is
/// enough: twice what a verdict needs.
constexpr double kRequestsForShortPeriod = 40;
/// Random numbers with this many values decide by probability.
constexpr std::uint64_t kDraws = 1U << 20U;

milliseconds EjectionTime(unsigned ejections) {
  const unsigned doublings =
      std::min(std::max(ejections, 1U) - 1, kMaxDoublings);
  return std::min(kFirstEjection * (1U << doublings), kMaxEjection);
}

bool Draw(Jitter& random, double probability) {
  return static_cast<double>(random.Below(kDraws)) <
         probability * static_cast<double>(kDraws);
}

}  // namespace

OutlierDetector::OutlierDetector(std::string domain, const TargetTable& targets,
                                 const FleetLoad& load, TargetObservations& own,
                                 double max_ejected, std::uint64_t seed)
    : domain(std::move(domain)),
      targets(targets),
      load(load),
      own(own),
      max_ejected(max_ejected),
      random(seed),
      reader_digests(kUrgentDigests) {}

std::string_view Word(HealthEvent event) {
  switch (event) {
    case HealthEvent::kEjected:
      return "target-ejected";
    case HealthEvent::kSlow:
      return "target-slow";
    case HealthEvent::kBack:
      return "target-back";
  }
  return "unknown";
}

double OutlierDetector::WeightOf(TargetIndex target) const {
  if (const auto found = this->silent.find(target);
      found != this->silent.end() && found->second.avoided) {
    return 0;
  }
  const auto found = this->records.find(target);
  if (found == this->records.end()) {
    return 1.0;
  }
  const Record& record = found->second;
  if (record.state == OutlierState::kReturning && record.trial) {
    return record.trial_open && this->own.Openings(target) <= record.openings
               ? 1.0
               : 0.0;
  }
  return record.weight;
}

OutlierState OutlierDetector::StateOf(TargetIndex target) const {
  if (const auto found = this->silent.find(target);
      found != this->silent.end() && found->second.avoided) {
    return OutlierState::kSilent;
  }
  const auto found = this->records.find(target);
  return found == this->records.end() ? OutlierState::kHealthy
                                      : found->second.state;
}

void OutlierDetector::Append(PeerObservations& observations, Time now) {
  std::vector<JudgedTarget> judged;
  for (const auto& [target, entry] : this->silent) {
    if (entry.confirmed) {
      judged.push_back({target, true, 1.0, now - entry.since});
    }
  }
  for (const auto& [target, record] : this->records) {
    const bool is_silent = this->StateOf(target) == OutlierState::kSilent;
    if (is_silent || record.state == OutlierState::kHealthy) {
      continue;
    }
    const bool back = record.state == OutlierState::kReturning && !record.trial;
    const bool reported = record.supported && !back;
    // A returning target is reported as well, though it may be healthy.
    judged.push_back({target, false, reported ? record.weight : 1.0,
                      reported ? now - record.judged_at : Time{0}});
  }
  observations.targets = this->own.Worst(std::move(judged), now, this->period);
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
  this->UpdateSilent(watch, now);
  this->ForgetUnpublished();
  this->period = this->CountPeriod(now);
  const CountsByTarget counts = this->own.Counts(now, this->period);
  this->AgeRecords(counts, now);
  this->OpenTrials(elapsed);
  const Groups groups = GroupEvidence({counts, this->own.KnowsRate(now)},
                                      this->reports.All(), this->targets, now);
  for (const auto& [key, group] : groups) {
    this->JudgeGroup(group, now);
  }
  for (const auto& [target, reported] : this->CollectReported(groups, counts)) {
    const auto group = groups.find(GroupOf(this->targets.At(target).published));
    OutlierVerdict verdict = Judge(group->second, target);
    verdict.reporters = reported.reporters;
    this->AdoptReported(target, reported, verdict, now);
  }
  this->WantDigest(counts, groups, now);
}

std::optional<UrgentReceivers> OutlierDetector::TakeUrgent() {
  return std::exchange(this->urgent, std::nullopt);
}

std::vector<HealthChange> OutlierDetector::TakeChanges() {
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
  for (const auto& [target, record] : this->records) {
    count(target);
  }
  for (const auto& [target, entry] : this->silent) {
    if (!this->records.contains(target)) {
      count(target);
    }
  }
  const std::size_t serving = this->targets.ServingCount();
  counts[Word(OutlierState::kHealthy)] = serving - std::min(outliers, serving);
  return counts;
}

void OutlierDetector::UpdateSilent(TargetWatch& watch, Time now) {
  for (const TargetIndex target : watch.SilentTargets()) {
    if (!this->targets.Has(target) || !this->targets.AcceptsFlows(target)) {
      continue;
    }
    SilentTarget& entry = this->silent[target];
    if (!std::exchange(entry.confirmed, true)) {
      entry.since = now;
      if (!this->IsReported(target)) {
        this->urgent = UrgentReceivers::kDomain;
      }
    }
  }
  this->NoteSilentReports(now);
  for (auto& [target, entry] : this->silent) {
    const bool due = !entry.probe_requested_at ||
                     now - *entry.probe_requested_at >= kProbeRequestInterval;
    if (entry.reported_at && !watch.Silent(target) && due) {
      entry.probe_requested_at = now;
      watch.OnReportedSilent(target);
    }
  }
  this->EndSilences(watch, now);
}

void OutlierDetector::NoteSilentReports(Time now) {
  for (const auto& [sender, report] : this->reports.All()) {
    for (const TargetReport& one : report.targets) {
      if (!one.silent || !this->targets.Has(one.target) ||
          !this->targets.AcceptsFlows(one.target)) {
        continue;
      }
      SilentTarget& entry = this->silent[one.target];
      if (!entry.reported_at) {
        entry.reported_at = now;
      }
      entry.heard_at = std::max(entry.heard_at, report.received_at);
    }
  }
}

void OutlierDetector::EndSilences(TargetWatch& watch, Time now) {
  for (auto& [target, entry] : this->silent) {
    const bool published =
        this->targets.Has(target) && this->targets.AcceptsFlows(target);
    entry.confirmed = entry.confirmed && published && watch.Silent(target);
    if (!published || now - entry.heard_at > kSilenceRetention) {
      entry.reported_at.reset();
    }
    const bool reported =
        entry.reported_at && !ShowsLife(watch, target, entry, now);
    const bool avoided = entry.confirmed || reported;
    if (std::exchange(entry.avoided, avoided) != avoided && published) {
      this->changes.push_back(
          {target,
           avoided ? HealthEvent::kEjected : HealthEvent::kBack,
           OutlierState::kSilent,
           {}});
    }
  }
  std::erase_if(this->silent, [](const auto& entry) {
    return !entry.second.confirmed && !entry.second.reported_at;
  });
}

bool OutlierDetector::ShowsLife(const TargetWatch& watch, TargetIndex target,
                                const SilentTarget& silent, Time now) {
  const LivenessEvidence evidence = watch.Evidence(target);
  std::optional<Time> alive = evidence.answered_at;
  if (evidence.probe == ProbeOutcome::kAnswered) {
    alive = std::max(alive.value_or(evidence.probed_at), evidence.probed_at);
  }
  return alive && *alive >= *silent.reported_at &&
         now - *alive < kLifeRetention;
}

void OutlierDetector::ForgetUnpublished() {
  std::erase_if(this->records, [this](const auto& entry) {
    return !this->targets.Has(entry.first) ||
           !this->targets.AcceptsFlows(entry.first);
  });
}

void OutlierDetector::AgeRecords(const CountsByTarget& counts, Time now) {
  for (auto& [target, record] : this->records) {
    if (record.state == OutlierState::kFailing) {
      this->AgeFailing(target, record, now);
    } else if (record.state == OutlierState::kReturning) {
      this->AgeReturning(target, record, counts, now);
    } else if (record.state == OutlierState::kSlow &&
               now - record.judged_at > kSlowMemory) {
      this->Return(record, false, now);
    }
  }
  std::erase_if(this->records, [now](const auto& entry) {
    return entry.second.state == OutlierState::kHealthy &&
           now - entry.second.since > kBackoffMemory;
  });
}

void OutlierDetector::AgeFailing(TargetIndex target, Record& record, Time now) {
  if (now - record.since < EjectionTime(record.ejections)) {
    return;
  }
  record.ejection_ended = now;
  record.openings = this->own.Openings(target);
  this->Return(record, true, now);
}

void OutlierDetector::AgeReturning(TargetIndex target, Record& record,
                                   const CountsByTarget& counts, Time now) {
  const Time since = record.ejection_ended.value_or(record.since);
  const TargetEvidence evidence =
      this->EvidenceSince(target, since, counts, now);
  const EvidenceSource total = evidence.Total();
  if (FailsAgain(evidence) && this->MayEject(target)) {
    OutlierVerdict verdict = record.evidence;
    verdict.requests = total.requests;
    verdict.failures = total.failures;
    this->Eject(target, verdict, now, now);
    return;
  }
  const Time elapsed = now - record.since;
  if (record.trial) {
    const bool proven = total.requests - total.failures >= kTrialSuccesses;
    if (elapsed >= kMaxTrial || (proven && elapsed >= kMinTrial)) {
      this->Return(record, false, now);
    }
    return;
  }
  if (elapsed >= kSlowStart) {
    this->changes.push_back(
        {target, HealthEvent::kBack,
         record.ejection_ended ? OutlierState::kFailing : OutlierState::kSlow,
         record.evidence});
    record.state = OutlierState::kHealthy;
    record.weight = 1.0;
    record.since = now;
    return;
  }
  const double part = static_cast<double>(elapsed.count()) /
                      static_cast<double>(kSlowStart.count());
  record.weight = std::max({part, record.weight, kMinSlowStartWeight});
}

// Each instance allows a trial flow as often as makes one per interval for the
// domain, if all know its number of instances.
void OutlierDetector::OpenTrials(Time elapsed) {
  const double probability = static_cast<double>(elapsed.count()) /
                             static_cast<double>(kTrialInterval.count()) /
                             this->DomainInstances();
  for (auto& [target, record] : this->records) {
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

void OutlierDetector::JudgeGroup(const TargetGroup& group, Time now) {
  std::vector<std::pair<TargetIndex, OutlierVerdict>> failing;
  for (const auto& [target, evidence] : group.targets) {
    if (!this->targets.AcceptsFlows(target)) {
      continue;
    }
    const OutlierState state = this->StateOf(target);
    if (state != OutlierState::kHealthy && state != OutlierState::kSlow) {
      continue;
    }
    const OutlierVerdict verdict = Judge(group, target);
    if (verdict.state == OutlierState::kFailing) {
      failing.emplace_back(target, verdict);
    } else if (verdict.state == OutlierState::kSlow) {
      this->SetSlow(target, verdict.weight, now, verdict, now);
    } else if (state == OutlierState::kSlow) {
      this->KeepOrEndSlow(target, this->records.at(target), group, now);
    }
  }
  std::ranges::sort(failing, [](const auto& a, const auto& b) {
    return a.second.failures * b.second.requests >
           b.second.failures * a.second.requests;
  });
  for (const auto& [target, verdict] : failing) {
    if (this->MayEject(target)) {
      this->Eject(target, verdict, now, now);
    }
  }
}

void OutlierDetector::KeepOrEndSlow(TargetIndex target, Record& record,
                                    const TargetGroup& group, Time now) {
  const EvidenceSource total = group.targets.at(target).Total();
  if (total.answers < kMinAnswersToKeepSlow || group.median_ms <= 0) {
    return;
  }
  if (!total.Slow(group.median_ms)) {
    this->Return(record, false, now);
    return;
  }
  record.judged_at = now;
  record.weight = std::max(group.median_ms / total.mean_ms, kMinSlowWeight);
}

std::unordered_map<TargetIndex, OutlierDetector::ReportedVerdict>
OutlierDetector::CollectReported(const Groups& groups,
                                 const CountsByTarget& counts) const {
  std::unordered_map<TargetIndex, ReportedVerdict> all;
  const auto decides = [this](const TargetReport& one) {
    return one.weight < 1.0 && this->targets.Has(one.target) &&
           !this->IsOutdated(one);
  };
  for (const auto& [sender, report] : this->reports.All()) {
    for (const TargetReport& one : report.targets) {
      if (decides(one)) {
        ReportedVerdict& reported = all[one.target];
        ++reported.reporters;
        reported.weight = std::max(reported.weight, one.weight);
        reported.judged_at = std::max(reported.judged_at, one.judged_at);
      }
    }
  }
  if (all.empty()) {
    return all;
  }
  std::unordered_map<TargetIndex, TargetEvidence> others;
  for (const auto& [sender, report] : this->reports.All()) {
    for (const TargetReport& one : report.targets) {
      if (all.contains(one.target) && !decides(one)) {
        others[one.target].sources.push_back(SourceOf(one));
      }
    }
  }
  for (auto& [target, reported] : all) {
    TargetEvidence& seen = others[target];
    if (const auto own = counts.find(target); own != counts.end()) {
      seen.sources.push_back(SourceOf(own->second));
    }
    const TargetGroup& group =
        groups.at(GroupOf(this->targets.At(target).published));
    reported.others_see_failures = SupportsOutlier(seen, group.median_ms);
    reported.others_see_answers =
        seen.Total().answers > 0 || AnswersUnlisted(group, target);
  }
  return all;
}

bool OutlierDetector::IsOutdated(const TargetReport& report) const {
  const auto record = this->records.find(report.target);
  return record != this->records.end() && record->second.ejection_ended &&
         report.judged_at <= *record->second.ejection_ended;
}

// A verdict of one instance counts only if somebody else saw the same, or
// no other saw the target answer; else one instance could eject any target.
void OutlierDetector::AdoptReported(TargetIndex target,
                                    const ReportedVerdict& reported,
                                    const OutlierVerdict& verdict, Time now) {
  const bool credible = reported.reporters > 1 ||
                        reported.others_see_failures ||
                        !reported.others_see_answers;
  const OutlierState state = this->StateOf(target);
  if (!credible || !this->targets.AcceptsFlows(target) ||
      state == OutlierState::kSilent || state == OutlierState::kFailing) {
    return;
  }
  const auto found = this->records.find(target);
  if (reported.weight > 0) {
    const bool newer = found == this->records.end() ||
                       reported.judged_at > found->second.judged_at;
    if (newer && now - reported.judged_at <= kSlowMemory &&
        state != OutlierState::kReturning) {
      this->SetSlow(target, reported.weight, reported.judged_at, verdict, now);
      this->records.at(target).supported = reported.others_see_failures;
    }
    return;
  }
  if (this->MayEject(target)) {
    this->Eject(target, verdict, reported.judged_at, now);
    this->records.at(target).supported = reported.others_see_failures;
  }
}

TargetEvidence OutlierDetector::EvidenceSince(TargetIndex target, Time since,
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

bool OutlierDetector::MayEject(TargetIndex target) const {
  const PublishedTarget& published = this->targets.At(target).published;
  const ServingTargets& serving =
      this->targets.ServingByDomain(published.service);
  const auto found = serving.find(published.domain);
  if (found == serving.end()) {
    return false;
  }
  std::size_t ejected = 0;
  for (const auto& [other, record] : this->records) {
    const bool out = record.state == OutlierState::kFailing ||
                     (record.state == OutlierState::kReturning && record.trial);
    const bool same =
        GroupOf(this->targets.At(other).published) == GroupOf(published);
    ejected += out && same && other != target ? 1 : 0;
  }
  const double allowed =
      std::floor(this->max_ejected * static_cast<double>(found->second.size()));
  return static_cast<double>(ejected + 1) <= allowed;
}

void OutlierDetector::Eject(TargetIndex target, const OutlierVerdict& verdict,
                            Time judged_at, Time now) {
  if (!this->IsReported(target)) {
    this->urgent = UrgentReceivers::kDomain;
  }
  Record& record = this->records[target];
  record.state = OutlierState::kFailing;
  record.weight = 0;
  record.since = now;
  record.judged_at = judged_at;
  record.supported = true;
  record.trial = false;
  record.trial_open = false;
  ++record.ejections;
  record.evidence = verdict;
  this->changes.push_back(
      {target, HealthEvent::kEjected, OutlierState::kFailing, verdict});
}

void OutlierDetector::SetSlow(TargetIndex target, double weight, Time judged_at,
                              const OutlierVerdict& verdict, Time now) {
  Record& record = this->records[target];
  if (record.state != OutlierState::kSlow) {
    if (!this->IsReported(target)) {
      this->urgent = UrgentReceivers::kDomain;
    }
    record.state = OutlierState::kSlow;
    record.since = now;
    record.evidence = verdict;
    this->changes.push_back(
        {target, HealthEvent::kSlow, OutlierState::kSlow, verdict});
  }
  record.weight = std::max(weight, kMinSlowWeight);
  record.judged_at = judged_at;
  record.supported = true;
}

void OutlierDetector::Return(Record& record, bool trial, Time now) {
  if (record.state == OutlierState::kSlow) {
    record.ejection_ended.reset();
  }
  record.state = OutlierState::kReturning;
  record.since = now;
  record.trial = trial;
  record.trial_open = false;
  record.weight = trial ? 0.0 : std::max(record.weight, kMinSlowStartWeight);
}

bool OutlierDetector::IsReported(TargetIndex target) const {
  const auto record = this->records.find(target);
  const Time since = record == this->records.end()
                         ? Time::min()
                         : record->second.ejection_ended.value_or(Time::min());
  return std::ranges::any_of(this->reports.All(), [&](const auto& entry) {
    return std::ranges::any_of(
        entry.second.targets, [&](const TargetReport& one) {
          return one.target == target && one.judged_at > since &&
                 (one.silent || one.weight < 1.0);
        });
  });
}

// Readers get more digests than others, but too few to judge within two
// seconds. An instance that sees failures of a target without a verdict tells
// them at once.
void OutlierDetector::WantDigest(const CountsByTarget& counts,
                                 const Groups& groups, Time now) {
  if (this->urgent || (this->readers_notified_at &&
                       now - *this->readers_notified_at < kUrgentInterval)) {
    return;
  }
  const bool alarming = std::ranges::any_of(counts, [&](const auto& entry) {
    const auto& [target, sum] = entry;
    if (this->StateOf(target) != OutlierState::kHealthy) {
      return false;
    }
    const double median_ms =
        groups.at(GroupOf(this->targets.At(target).published)).median_ms;
    const double excess =
        sum.answers_ms - kNotableSlowness * median_ms * sum.answers;
    return sum.failures > 0 ||
           (median_ms > 0 && excess > kAlarmingExcess * median_ms);
  });
  if (!alarming || !this->reader_digests.Take(kTokensOfDigest, now)) {
    return;
  }
  this->readers_notified_at = now;
  if (Draw(this->random, kMaxUrgentSenders / this->DomainInstances())) {
    this->urgent = UrgentReceivers::kReaders;
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

#include "core/health/silent_targets.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// How long a report of silence counts.
constexpr milliseconds kSilenceRetention{3000};
/// An answer or a successful probe refutes reports of silence for this time.
constexpr milliseconds kLifeRetention{2000};
constexpr milliseconds kProbeRequestInterval{1000};

}  // namespace

bool SilentTargets::Avoids(TargetIndex target) const {
  const auto found = this->silent.find(target);
  return found != this->silent.end() && found->second.avoided;
}

std::vector<TargetIndex> SilentTargets::Avoided() const {
  std::vector<TargetIndex> avoided;
  for (const auto& [target, entry] : this->silent) {
    if (entry.avoided) {
      avoided.push_back(target);
    }
  }
  return avoided;
}

std::vector<TargetStatus> SilentTargets::Confirmed(Time now) const {
  std::vector<TargetStatus> confirmed;
  for (const auto& [target, entry] : this->silent) {
    if (entry.confirmed) {
      confirmed.push_back({target, true, 1.0, now - entry.since});
    }
  }
  return confirmed;
}

std::vector<TargetIndex> SilentTargets::OnTick(TargetWatch& watch, Time now) {
  std::vector<TargetIndex> confirmed;
  for (const TargetIndex target : watch.SilentTargets()) {
    if (!this->targets.Has(target) || !this->targets.AcceptsFlows(target)) {
      continue;
    }
    SilentTarget& entry = this->silent[target];
    if (!std::exchange(entry.confirmed, true)) {
      entry.since = now;
      confirmed.push_back(target);
    }
  }
  this->NoteReports(now);
  for (auto& [target, entry] : this->silent) {
    const bool due = !entry.probe_requested_at ||
                     now - *entry.probe_requested_at >= kProbeRequestInterval;
    if (entry.reported_at && !watch.Silent(target) && due) {
      entry.probe_requested_at = now;
      watch.OnReportedSilent(target);
    }
  }
  this->EndSilences(watch, now);
  return confirmed;
}

void SilentTargets::NoteReports(Time now) {
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

void SilentTargets::EndSilences(TargetWatch& watch, Time now) {
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

bool SilentTargets::ShowsLife(const TargetWatch& watch, TargetIndex target,
                              const SilentTarget& silent, Time now) {
  const LivenessEvidence evidence = watch.Evidence(target);
  std::optional<Time> alive = evidence.answered_at;
  if (evidence.probe == ProbeOutcome::kAnswered) {
    alive = std::max(alive.value_or(evidence.probed_at), evidence.probed_at);
  }
  return alive && *alive >= *silent.reported_at &&
         now - *alive < kLifeRetention;
}

}  // namespace sassafrasdyke::core

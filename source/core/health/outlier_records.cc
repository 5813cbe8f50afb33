#include "core/health/outlier_records.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Health of this length ends the doubling of ejections.
constexpr milliseconds kBackoffMemory{16'000};
/// Weight of the slowest target, so that it goes on being measured.
constexpr double kMinSlowWeight = 0.02;

}  // namespace

const OutlierRecord* OutlierRecords::Find(TargetIndex target) const {
  const auto found = this->records.find(target);
  return found == this->records.end() ? nullptr : &found->second;
}

OutlierState OutlierRecords::StateOf(TargetIndex target) const {
  const OutlierRecord* const record = this->Find(target);
  return record == nullptr ? OutlierState::kHealthy : record->state;
}

std::optional<OutlierRecords::Time> OutlierRecords::EjectionEnd(
    TargetIndex target) const {
  const OutlierRecord* const record = this->Find(target);
  return record == nullptr ? std::nullopt : record->ejection_ended;
}

void OutlierRecords::ForgetUnpublished() {
  std::erase_if(this->records, [this](const auto& entry) {
    return !this->targets.Has(entry.first) ||
           !this->targets.AcceptsFlows(entry.first);
  });
}

void OutlierRecords::Expire(Time now) {
  std::erase_if(this->records, [now](const auto& entry) {
    return entry.second.state == OutlierState::kHealthy &&
           now - entry.second.since > kBackoffMemory;
  });
}

bool OutlierRecords::MayEject(TargetIndex target) const {
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

void OutlierRecords::Eject(TargetIndex target,
                           const OutlierEvaluation& evaluation, Time decided_at,
                           Time now) {
  this->urgent.OnOutlier(target, this->EjectionEnd(target));
  OutlierRecord& record = this->records[target];
  record.state = OutlierState::kFailing;
  record.weight = 0;
  record.since = now;
  record.decided_at = decided_at;
  record.supported = true;
  record.trial = false;
  record.trial_open = false;
  ++record.ejections;
  record.evidence = evaluation;
  this->changes.push_back(
      {target, HealthEvent::kEjected, OutlierState::kFailing, evaluation});
}

void OutlierRecords::SetSlow(TargetIndex target, double weight, Time decided_at,
                             const OutlierEvaluation& evaluation, Time now) {
  OutlierRecord& record = this->records[target];
  if (record.state != OutlierState::kSlow) {
    this->urgent.OnOutlier(target, record.ejection_ended);
    record.state = OutlierState::kSlow;
    record.since = now;
    record.evidence = evaluation;
    this->changes.push_back(
        {target, HealthEvent::kSlow, OutlierState::kSlow, evaluation});
  }
  record.weight = std::max(weight, kMinSlowWeight);
  record.decided_at = decided_at;
  record.supported = true;
}

void OutlierRecords::ConfirmSlow(TargetIndex target, double weight, Time now) {
  OutlierRecord& record = this->records.at(target);
  record.decided_at = now;
  record.weight = std::max(weight, kMinSlowWeight);
}

void OutlierRecords::SetSupported(TargetIndex target, bool supported) {
  this->records.at(target).supported = supported;
}

void OutlierRecords::Return(OutlierRecord& record, bool trial, Time now) {
  if (record.state == OutlierState::kSlow) {
    record.ejection_ended.reset();
  }
  record.state = OutlierState::kReturning;
  record.since = now;
  record.trial = trial;
  record.trial_open = false;
  record.weight = trial ? 0.0 : std::max(record.weight, kMinReturningWeight);
}

void OutlierRecords::EndSlow(TargetIndex target, Time now) {
  Return(this->records.at(target), false, now);
}

void OutlierRecords::SetHealthy(TargetIndex target, Time now) {
  OutlierRecord& record = this->records.at(target);
  this->changes.push_back(
      {target, HealthEvent::kBack,
       record.ejection_ended ? OutlierState::kFailing : OutlierState::kSlow,
       record.evidence});
  record.state = OutlierState::kHealthy;
  record.weight = 1.0;
  record.since = now;
}

}  // namespace sassafrasdyke::core

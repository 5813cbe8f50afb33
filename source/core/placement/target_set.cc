#include "core/placement/target_set.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Consecutive flows with an unanswered SYN before a target is ejected. One or
/// two may be callers that went away.
constexpr std::uint32_t kUnansweredSynsToEject = 3;
constexpr std::chrono::milliseconds kFirstEjectionTime{
    std::chrono::seconds{10}};
constexpr std::uint32_t kMaxEjectionDoublings = 5;
constexpr std::uint32_t kPercent = 100;
/// Slow start begins at this share: with none, a target would get no flow to
/// prove that it works.
constexpr double kMinRampShare = 0.1;

/// Whether a published target is the one a record was made for. The same id
/// under another service or tunnel is another target: flows of the old one must
/// never reach it.
bool IsSameTarget(const Target& before, const Target& after) {
  return before.service == after.service && before.tunnel == after.tunnel;
}

bool IsUnhealthy(TargetHealth health) {
  return health == TargetHealth::kFailing || health == TargetHealth::kShedding;
}

}  // namespace

void TargetSet::OnConfiguration(const Configuration& configuration,
                                std::chrono::milliseconds now) {
  const bool first = this->by_id.empty();
  tsl::robin_map<common::TargetId, TargetSlot> before;
  std::swap(before, this->by_id);
  for (const Target& target : configuration.targets) {
    const auto old = before.find(target.id);
    const bool is_same =
        old != before.end() &&
        IsSameTarget(this->records[old->second.value].target, target);
    if (!is_same) {
      this->by_id[target.id] = this->AddRecord(target, !first, now);
      continue;
    }
    TargetRecord& record = this->records[old->second.value];
    const bool resumes = record.target.state == TargetState::kDraining &&
                         target.state == TargetState::kServing;
    record.target = target;
    record.ramp_start = resumes ? now : record.ramp_start;
    this->by_id[target.id] = old->second;
    before.erase(old);
  }
  for (const auto& [id, slot] : before) {
    this->RetireRecord(slot);
  }
  this->RebuildServiceCounts();
}

TargetSlot TargetSet::AddRecord(const Target& target, bool ramp,
                                std::chrono::milliseconds now) {
  const TargetSlot slot = this->AllocateSlot();
  TargetRecord& record = this->records[slot.value];
  record = TargetRecord{.target = target};
  record.ramp_start = ramp ? now : record.ramp_start;
  return slot;
}

TargetSlot TargetSet::AllocateSlot() {
  if (!this->free_slots.empty()) {
    const TargetSlot slot = this->free_slots.back();
    this->free_slots.pop_back();
    return slot;
  }
  this->records.emplace_back();
  return TargetSlot{static_cast<std::uint32_t>(this->records.size() - 1)};
}

void TargetSet::RetireRecord(TargetSlot slot) {
  TargetRecord& record = this->records[slot.value];
  record.gone = true;
  // A slot that flows still refer to must not be reused for another target.
  if (record.open == 0) {
    this->free_slots.push_back(slot);
  }
}

void TargetSet::RebuildServiceCounts() {
  this->services.clear();
  for (const auto& [id, slot] : this->by_id) {
    const TargetRecord& record = this->records[slot.value];
    ServiceCounts& counts = this->services[record.target.service];
    ++counts.targets;
    counts.reported_unhealthy += IsUnhealthy(record.health) ? 1 : 0;
    counts.slots.push_back(slot);
  }
}

void TargetSet::OnHealth(const TargetHealthChange& change,
                         std::chrono::milliseconds now) {
  const auto found = this->by_id.find(change.target);
  if (found == this->by_id.end()) {
    return;
  }
  TargetRecord& record = this->records[found->second.value];
  if (change.version <= record.health_version) {
    return;
  }
  ServiceCounts& counts = this->services[record.target.service];
  const bool was_unhealthy = IsUnhealthy(record.health);
  const bool is_unhealthy = IsUnhealthy(change.health);
  record.health_version = change.version;
  record.health = change.health;
  if (was_unhealthy && !is_unhealthy) {
    --counts.reported_unhealthy;
    record.ramp_start = now;
  }
  if (!was_unhealthy && is_unhealthy) {
    ++counts.reported_unhealthy;
  }
}

std::optional<TargetSlot> TargetSet::Find(common::TargetId id) const {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) {
    return std::nullopt;
  }
  return found->second;
}

void TargetSet::FlowOpened(TargetSlot slot) {
  ++this->records[slot.value].open;
}

void TargetSet::FlowEnded(TargetSlot slot) {
  TargetRecord& record = this->records[slot.value];
  --record.open;
  if (record.gone && record.open == 0) {
    this->free_slots.push_back(slot);
  }
}

void TargetSet::OnAnswered(TargetSlot slot, std::chrono::milliseconds now) {
  TargetRecord& record = this->records[slot.value];
  record.unanswered = 0;
  record.ejections = 0;
  record.answered_at = now;
}

void TargetSet::OnUnanswered(TargetSlot slot, const ServicePolicy& policy,
                             std::chrono::milliseconds now) {
  TargetRecord& record = this->records[slot.value];
  ++record.unanswered;
  if (record.gone || record.unanswered < kUnansweredSynsToEject ||
      this->IsEjected(slot, now)) {
    return;
  }
  // A fault on this instance's own network path makes every target look dead.
  // Without the limit it would eject them all and refuse callers that other
  // instances could serve.
  const common::ServiceId service = record.target.service;
  const std::uint32_t limit =
      this->services[service].targets * policy.eject_share_percent / kPercent;
  if (this->CountEjected(service, now) >= limit) {
    return;
  }
  const std::uint32_t doublings =
      std::min(record.ejections, kMaxEjectionDoublings);
  record.ejected_until = now + kFirstEjectionTime * (1U << doublings);
  record.ramp_start = record.ejected_until;
  record.unanswered = 0;
  ++record.ejections;
}

bool TargetSet::IsEjected(TargetSlot slot,
                          std::chrono::milliseconds now) const {
  return now < this->records[slot.value].ejected_until;
}

std::uint32_t TargetSet::CountEjected(common::ServiceId service,
                                      std::chrono::milliseconds now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return 0;
  }
  const auto& slots = found->second.slots;
  return static_cast<std::uint32_t>(std::count_if(
      slots.begin(), slots.end(),
      [this, now](TargetSlot slot) { return this->IsEjected(slot, now); }));
}

bool TargetSet::TooManyReportedUnhealthy(common::ServiceId service,
                                         const ServicePolicy& policy) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  const ServiceCounts& counts = found->second;
  return counts.reported_unhealthy * kPercent >
         counts.targets * policy.eject_share_percent;
}

double TargetSet::RampShare(TargetSlot slot, std::chrono::milliseconds ramp,
                            std::chrono::milliseconds now) const {
  const std::chrono::milliseconds from = this->records[slot.value].ramp_start;
  if (from.count() < 0 || ramp.count() <= 0 || now >= from + ramp) {
    return 1.0;
  }
  const double passed = static_cast<double>((now - from).count()) /
                        static_cast<double>(ramp.count());
  return std::max(kMinRampShare, passed);
}

}  // namespace sassafrasdyke::core

#include "core/placement/target_set.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Flows in a row whose SYN got no answer before a target is ejected. One or
/// two may be callers that went away.
constexpr std::uint32_t kUnansweredToEject = 3;
constexpr std::chrono::milliseconds kFirstEjection{std::chrono::seconds{10}};
constexpr std::uint32_t kMostDoublings = 5;
constexpr std::uint32_t kPercent = 100;
/// A ramp starts here, else a target that nobody uses could never show that it
/// works.
constexpr double kLeastShare = 0.1;

/// Whether a published target is still the one a life stands for. The same
/// number under another service or tunnel is another target: flows of the old
/// one must never reach it.
bool SameLife(const Target& before, const Target& after) {
  return before.service == after.service && before.tunnel == after.tunnel;
}

bool IsBad(TargetHealth health) {
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
    const bool lives_on =
        old != before.end() &&
        SameLife(this->records[old->second.value].target, target);
    if (!lives_on) {
      this->by_id[target.id] = this->NewLife(target, !first, now);
      continue;
    }
    TargetRecord& record = this->records[old->second.value];
    const bool returns = record.target.state == TargetState::kDraining &&
                         target.state == TargetState::kServing;
    record.target = target;
    record.ramp_from = returns ? now : record.ramp_from;
    this->by_id[target.id] = old->second;
    before.erase(old);
  }
  for (const auto& [id, slot] : before) {
    this->EndLife(slot);
  }
  this->CountServices();
}

TargetSlot TargetSet::NewLife(const Target& target, bool ramp,
                              std::chrono::milliseconds now) {
  const TargetSlot slot = this->FreeSlot();
  TargetRecord& record = this->records[slot.value];
  record = TargetRecord{.target = target};
  record.ramp_from = ramp ? now : record.ramp_from;
  return slot;
}

TargetSlot TargetSet::FreeSlot() {
  if (!this->free.empty()) {
    const TargetSlot slot = this->free.back();
    this->free.pop_back();
    return slot;
  }
  this->records.emplace_back();
  return TargetSlot{static_cast<std::uint32_t>(this->records.size() - 1)};
}

void TargetSet::EndLife(TargetSlot slot) {
  TargetRecord& record = this->records[slot.value];
  record.gone = true;
  // A slot that flows still refer to must not become another target.
  if (record.open == 0) {
    this->free.push_back(slot);
  }
}

void TargetSet::CountServices() {
  this->services.clear();
  for (const auto& [id, slot] : this->by_id) {
    const TargetRecord& record = this->records[slot.value];
    ServiceCounts& counts = this->services[record.target.service];
    ++counts.targets;
    counts.reported_bad += IsBad(record.health) ? 1 : 0;
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
  const bool was_bad = IsBad(record.health);
  const bool is_bad = IsBad(change.health);
  record.health_version = change.version;
  record.health = change.health;
  if (was_bad && !is_bad) {
    --counts.reported_bad;
    record.ramp_from = now;
  }
  if (!was_bad && is_bad) {
    ++counts.reported_bad;
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
    this->free.push_back(slot);
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
  if (record.gone || record.unanswered < kUnansweredToEject ||
      this->IsEjected(slot, now)) {
    return;
  }
  // A fault on this instance's own path makes every target look dead. Without
  // the bound it would eject them all and refuse callers whom others serve.
  const common::ServiceId service = record.target.service;
  const std::uint32_t limit =
      this->services[service].targets * policy.eject_share_percent / kPercent;
  if (this->EjectedOf(service, now) >= limit) {
    return;
  }
  const std::uint32_t doublings = std::min(record.ejections, kMostDoublings);
  record.ejected_until = now + kFirstEjection * (1U << doublings);
  record.ramp_from = record.ejected_until;
  record.unanswered = 0;
  ++record.ejections;
}

bool TargetSet::IsEjected(TargetSlot slot,
                          std::chrono::milliseconds now) const {
  return now < this->records[slot.value].ejected_until;
}

std::uint32_t TargetSet::EjectedOf(common::ServiceId service,
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

bool TargetSet::ReportsDistrusted(common::ServiceId service,
                                  const ServicePolicy& policy) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  const ServiceCounts& counts = found->second;
  return counts.reported_bad * kPercent >
         counts.targets * policy.eject_share_percent;
}

double TargetSet::RampShare(TargetSlot slot, std::chrono::milliseconds ramp,
                            std::chrono::milliseconds now) const {
  const std::chrono::milliseconds from = this->records[slot.value].ramp_from;
  if (from.count() < 0 || ramp.count() <= 0 || now >= from + ramp) {
    return 1.0;
  }
  const double passed = static_cast<double>((now - from).count()) /
                        static_cast<double>(ramp.count());
  return std::max(kLeastShare, passed);
}

}  // namespace sassafrasdyke::core

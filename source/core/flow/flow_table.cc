#include "core/flow/flow_table.h"

namespace sassafrasdyke::core {
namespace {

/// One in this many entries is reserved for established flows. Otherwise new
/// flows alone could fill the table, and an established flow that arrives from
/// another instance would find no room and lose its target.
constexpr std::size_t kReservedDivisor = 16;

}  // namespace

std::chrono::milliseconds IdleLimits::For(FlowState state) const {
  switch (state) {
    case FlowState::kSyn:
      return this->syn;
    case FlowState::kEstablished:
      return this->established;
    case FlowState::kClosing:
      return this->closing;
  }
  return this->closing;
}

FlowRecord* FlowTable::Find(common::Fingerprint flow) {
  const auto found = this->records.find(flow);
  return found == this->records.end() ? nullptr : &found.value();
}

bool FlowTable::HasRoom(Admission admission) const {
  const std::size_t reserved = admission == Admission::kNewFlow
                                   ? (this->capacity / kReservedDivisor)
                                   : 0;
  return this->records.size() + reserved < this->capacity;
}

FlowRecord* FlowTable::Insert(common::Fingerprint flow,
                              const FlowRecord& record, Admission admission,
                              const IdleLimits& limits) {
  if (!this->HasRoom(admission) && this->Find(flow) == nullptr) {
    return nullptr;
  }
  FlowRecord& inserted = this->records[flow];
  inserted = record;
  this->Reschedule(flow, inserted, limits);
  return &inserted;
}

void FlowTable::Erase(common::Fingerprint flow) { this->records.erase(flow); }

void FlowTable::Reschedule(common::Fingerprint flow, FlowRecord& record,
                           const IdleLimits& limits) {
  record.due = this->wheel.Schedule(
      flow, record.last_seen.Time() + limits.For(record.state));
}

void FlowTable::Expire(std::chrono::milliseconds now, std::size_t max_checks,
                       const LimitsOf& limits_of, const Ended& ended) {
  for (std::size_t checks = 0; checks < max_checks; ++checks) {
    const std::optional<DueFlow> due = this->wheel.Next(now);
    if (!due) {
      return;
    }
    FlowRecord* const record = this->Find(due->flow);
    if (record == nullptr || record->due != due->due) {
      continue;  // The flow has ended or was rescheduled.
    }
    const IdleLimits limits = limits_of(record->service);
    if (record->last_seen.Time() + limits.For(record->state) > now) {
      this->Reschedule(due->flow, *record, limits);
      continue;
    }
    ended(due->flow, *record);
    this->Erase(due->flow);
  }
}

void FlowTable::ForEach(
    const std::function<void(common::Fingerprint, FlowRecord&)>& visit) {
  for (auto entry = this->records.begin(); entry != this->records.end();
       ++entry) {
    visit(entry->first, entry.value());
  }
}

}  // namespace sassafrasdyke::core

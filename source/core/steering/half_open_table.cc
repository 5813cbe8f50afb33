#include "core/steering/half_open_table.h"

namespace sassafrasdyke::core {
namespace {

/// A client gives up 1.4 s after its first SYN; half a second more covers the
/// network time of its last copy.
constexpr std::chrono::milliseconds kMaxHalfOpenAge{2000};
/// Maximum number of entries: 2 s of 4,000 new flows a second, about 1 MB,
/// fifty times the share of one of 810 instances at 64,000 new flows a second.
constexpr std::size_t kMaxHalfOpenFlows = 8192;

}  // namespace

HalfOpenFlow* HalfOpenTable::Find(const common::FlowKey& flow) {
  const auto found = this->half_open_flows.find(flow);
  return found == this->half_open_flows.end() ? nullptr : &found->second;
}

const HalfOpenFlow* HalfOpenTable::Find(const common::FlowKey& flow) const {
  const auto found = this->half_open_flows.find(flow);
  return found == this->half_open_flows.end() ? nullptr : &found->second;
}

void HalfOpenTable::Add(const common::FlowKey& flow,
                        const HalfOpenFlow& half_open) {
  if (this->due.size() >= kMaxHalfOpenFlows) {
    return;
  }
  this->half_open_flows.insert_or_assign(flow, half_open);
  this->due.push_back({half_open.sent_at + kMaxHalfOpenAge, flow});
}

std::optional<TargetIndex> HalfOpenTable::Finish(const common::FlowKey& flow) {
  const auto found = this->half_open_flows.find(flow);
  if (found == this->half_open_flows.end()) {
    return std::nullopt;
  }
  const TargetIndex target = found->second.target;
  this->half_open_flows.erase(found);
  return target;
}

void HalfOpenTable::OnPause(std::chrono::milliseconds now) {
  for (auto& [flow, half_open] : this->half_open_flows) {
    half_open.sent_at = now;
  }
}

void HalfOpenTable::Expire(std::chrono::milliseconds now) {
  while (!this->due.empty() && this->due.front().at <= now) {
    this->half_open_flows.erase(this->due.front().flow);
    this->due.pop_front();
  }
}

}  // namespace sassafrasdyke::core

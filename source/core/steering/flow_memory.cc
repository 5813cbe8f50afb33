#include "core/steering/flow_memory.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Maximum number of flows: twice the share of one of 810 instances at 27
/// million; some 8 MB.
constexpr std::size_t kMaxFlows = 65'536;
/// Interval between scans of all flows; at the maximum number one takes some 5
/// ms.
constexpr std::chrono::milliseconds kExpiryInterval{5000};

/// Whether `number` is after `other` in sequence space, which wraps around. A
/// packet that arrives out of order has a lower number.
bool IsAfter(std::uint32_t number, std::uint32_t other) {
  return static_cast<std::int32_t>(number - other) > 0;
}

}  // namespace

FlowProgress FlowMemory::OnForwarded(const FlowPacket& packet,
                                     TargetIndex target,
                                     std::chrono::milliseconds now) {
  const auto found = this->flows.find(packet.flow);
  if (packet.flags.fin || packet.flags.rst) {
    return this->OnEnd(packet, found);
  }
  const std::uint32_t next_sequence = packet.sequence + packet.payload_bytes;
  if (found == this->flows.end()) {
    if (this->flows.size() < kMaxFlows) {
      this->flows.emplace(
          packet.flow, Entry{target, packet.acknowledgement, next_sequence,
                             FlowSighting{now}, now, packet.payload_bytes > 0});
    }
    return {false, packet.payload_bytes > 0, false};
  }
  Entry& entry = found->second;
  const bool same = entry.target == target;
  const bool answered =
      same && IsAfter(packet.acknowledgement, entry.acknowledgement);
  const bool requests = packet.payload_bytes > 0 &&
                        (!same || IsAfter(next_sequence, entry.next_sequence));
  const bool repeats = packet.payload_bytes > 0 && !answered && !requests;
  const bool fails = repeats && entry.awaits_answer;
  const bool awaits_answer =
      requests || (entry.awaits_answer && !answered && !fails);
  // A flow's target doesn't change; this is another flow.
  const FlowSighting sighting = same ? entry.sighting : FlowSighting{now};
  entry = {target, packet.acknowledgement, next_sequence, sighting,
           now,    awaits_answer};
  return {answered, requests, fails};
}

FlowProgress FlowMemory::OnEnd(const FlowPacket& packet, Flows::iterator flow) {
  if (flow == this->flows.end()) {
    return {};
  }
  const bool answered =
      IsAfter(packet.acknowledgement, flow->second.acknowledgement);
  const bool fails =
      packet.flags.rst && flow->second.awaits_answer && !answered;
  this->flows.erase(flow);
  return {false, false, fails};
}

void FlowMemory::OnOpenedHere(const common::FlowKey& flow) {
  if (const auto found = this->flows.find(flow); found != this->flows.end()) {
    found->second.sighting.opened_here = true;
  }
}

std::optional<FlowSighting> FlowMemory::Sighting(
    const common::FlowKey& flow) const {
  const auto found = this->flows.find(flow);
  return found == this->flows.end()
             ? std::nullopt
             : std::make_optional(found->second.sighting);
}

bool FlowMemory::HasFlowsOf(TargetIndex target) const {
  return std::ranges::any_of(this->flows, [target](const auto& flow) {
    return flow.second.target == target && !flow.second.taken;
  });
}

std::vector<FlowPacket> FlowMemory::Take(
    TargetIndex target, const std::function<bool(const FlowSighting&)>& ended) {
  std::vector<FlowPacket> taken;
  for (auto& [flow, entry] : this->flows) {
    if (entry.target != target || entry.taken || !ended(entry.sighting)) {
      continue;
    }
    FlowPacket packet;
    packet.flow = flow;
    packet.flags.ack = true;
    packet.acknowledgement = entry.acknowledgement;
    taken.push_back(packet);
    // Kept: if the reset is lost, the client's next packet is no younger.
    entry.taken = true;
  }
  return taken;
}

void FlowMemory::Expire(std::chrono::milliseconds now) {
  if (now - this->expired_at < kExpiryInterval) {
    return;
  }
  this->expired_at = now;
  std::erase_if(this->flows, [this, now](const auto& flow) {
    return now - flow.second.seen_at > this->flow_life;
  });
}

}  // namespace sassafrasdyke::core

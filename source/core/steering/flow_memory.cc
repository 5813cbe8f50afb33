#include "core/steering/flow_memory.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Twice the flows of one of 810 instances at 27 million; some 8 MB.
constexpr std::size_t kMostFlows = 65'536;
/// Pause between looks at all flows; at the bound one takes some 5 ms.
constexpr std::chrono::milliseconds kExpireEvery{5000};

}  // namespace

bool FlowMemory::OnCarried(const FlowPacket& packet, TargetIndex target,
                           std::chrono::milliseconds now) {
  if (packet.flags.fin || packet.flags.rst) {
    this->flows.erase(packet.flow);
    return false;
  }
  if (const auto found = this->flows.find(packet.flow);
      found != this->flows.end()) {
    // Numbers wrap around; a packet that comes late acknowledges less.
    const bool progressed =
        found->second.target == target &&
        static_cast<std::int32_t>(packet.acknowledgement -
                                  found->second.acknowledgement) > 0;
    found->second = {target, packet.acknowledgement, now};
    return progressed;
  }
  if (this->flows.size() < kMostFlows) {
    this->flows.emplace(packet.flow,
                        Memory{target, packet.acknowledgement, now});
  }
  return false;
}

bool FlowMemory::HasFlowsOf(TargetIndex target) const {
  return std::ranges::any_of(this->flows, [target](const auto& flow) {
    return flow.second.target == target;
  });
}

std::vector<FlowPacket> FlowMemory::Take(TargetIndex target) {
  std::vector<FlowPacket> taken;
  std::erase_if(this->flows, [&](const auto& flow) {
    if (flow.second.target != target) {
      return false;
    }
    FlowPacket packet;
    packet.flow = flow.first;
    packet.flags.ack = true;
    packet.acknowledgement = flow.second.acknowledgement;
    taken.push_back(packet);
    return true;
  });
  return taken;
}

void FlowMemory::Expire(std::chrono::milliseconds now) {
  if (now - this->expired_at < kExpireEvery) {
    return;
  }
  this->expired_at = now;
  std::erase_if(this->flows, [this, now](const auto& flow) {
    return now - flow.second.seen_at > this->flow_life;
  });
}

}  // namespace sassafrasdyke::core

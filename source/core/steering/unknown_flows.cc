#include "core/steering/unknown_flows.h"

namespace sassafrasdyke::core {
namespace {

/// So that forged flows can't exhaust memory; some 300 KB.
constexpr std::size_t kMaxFlows = 4096;

}  // namespace

void UnknownFlows::OnPacket(const common::FlowKey& flow,
                            std::chrono::milliseconds now) {
  if (this->first_packets.size() < kMaxFlows) {
    this->first_packets.emplace(flow, now);
  }
}

std::optional<FlowSighting> UnknownFlows::Sighting(
    const common::FlowKey& flow) const {
  const auto found = this->first_packets.find(flow);
  return found == this->first_packets.end()
             ? std::nullopt
             : std::make_optional(FlowSighting{found->second});
}

void UnknownFlows::Expire(std::chrono::milliseconds oldest) {
  std::erase_if(this->first_packets,
                [oldest](const auto& entry) { return entry.second < oldest; });
}

}  // namespace sassafrasdyke::core

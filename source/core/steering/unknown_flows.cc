#include "core/steering/unknown_flows.h"

namespace sassafrasdyke::core {
namespace {

/// Covers the propagation delay of stores and peers.
constexpr std::chrono::milliseconds kPropagationTime{500};
/// So that forged flows can't exhaust memory; some 300 KB.
constexpr std::size_t kMaxFlows = 4096;

}  // namespace

bool UnknownFlows::HasEnded(
    const common::FlowKey& flow,
    std::optional<std::chrono::milliseconds> confirmed_at,
    std::chrono::milliseconds now) {
  const auto found = this->first_packets.find(flow);
  if (found != this->first_packets.end()) {
    return confirmed_at && *confirmed_at >= found->second + kPropagationTime;
  }
  if (this->first_packets.size() < kMaxFlows) {
    this->first_packets.emplace(flow, now);
  }
  return false;
}

std::optional<std::chrono::milliseconds> UnknownFlows::FirstSeen(
    const common::FlowKey& flow) const {
  const auto found = this->first_packets.find(flow);
  return found == this->first_packets.end() ? std::nullopt
                                            : std::make_optional(found->second);
}

void UnknownFlows::Expire(std::chrono::milliseconds oldest) {
  std::erase_if(this->first_packets,
                [oldest](const auto& entry) { return entry.second < oldest; });
}

}  // namespace sassafrasdyke::core

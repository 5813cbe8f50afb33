/// Open flows whose packets are dropped, as the view lacks their target.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "common/flow_key.h"
#include "core/steering/flow_memory.h"

namespace sassafrasdyke::core {

/// Remembers when the first packet of each such flow came. Times are monotonic.
/// Bounded in number: beyond the bound new flows aren't remembered.
class UnknownFlows {
 public:
  /// A packet of `flow` came whose target the view lacks.
  void OnPacket(const common::FlowKey& flow, std::chrono::milliseconds now);
  /// Nothing if the flow isn't remembered.
  std::optional<FlowSighting> Sighting(const common::FlowKey& flow) const;
  /// The view may lack what hasn't ended: forgets when the flow's first packet
  /// came.
  void Forget(const common::FlowKey& flow) { this->first_packets.erase(flow); }
  /// Forgets flows whose first packet came before `oldest`.
  void Expire(std::chrono::milliseconds oldest);

 private:
  std::unordered_map<common::FlowKey, std::chrono::milliseconds, FlowHash>
      first_packets;
};

}  // namespace sassafrasdyke::core

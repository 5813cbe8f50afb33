/// Remembers the flows of which this instance has queued every copy of the SYN.
///
/// Copies of a SYN may reach different instances when routing changes. Only if
/// all of them came here, and none was forwarded, does a refusal say the truth:
/// no target has opened the flow.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "common/flow_key.h"
#include "core/steering/flow_memory.h"
#include "core/steering/flow_packet.h"

namespace sassafrasdyke::core {

/// Bounded in number: flows beyond the bound aren't refused. Times are
/// monotonic.
class HeldCopies {
 public:
  /// The SYN was queued; `now` is when it arrived.
  void OnHeld(const FlowPacket& syn, std::chrono::milliseconds now);
  /// A packet of the flow was forwarded, here or by another instance, or the
  /// flow was refused.
  void Forget(const common::FlowKey& flow) { this->flows.erase(flow); }
  void Clear() { this->flows.clear(); }
  void Expire(std::chrono::milliseconds now);

  /// Whether every copy that the client has sent was queued here and none
  /// forwarded.
  bool HasAll(const common::FlowKey& flow) const {
    return this->flows.contains(flow);
  }

 private:
  struct Copies {
    std::uint32_t count{0};
    std::chrono::milliseconds last{0};  ///< When the last one came.
  };

  std::unordered_map<common::FlowKey, Copies, FlowHash> flows;
};

}  // namespace sassafrasdyke::core

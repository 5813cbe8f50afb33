/// Half-open flows: SYNs of the last seconds that no target is known to have
/// answered.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "common/flow_key.h"
#include "core/steering/flow_memory.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// A flow whose SYN was sent to a target that is not known to have answered.
struct HalfOpenFlow {
  TargetIndex target;
  std::chrono::milliseconds sent_at{0};
  bool retried{false};  ///< The SYN was sent to a second target.
};

/// Table of half-open flows, bounded in time and number so that a SYN flood
/// can't exhaust memory. A flow that doesn't fit is placed without an entry.
class HalfOpenTable {
 public:
  HalfOpenFlow* Find(const common::FlowKey& flow);
  const HalfOpenFlow* Find(const common::FlowKey& flow) const;
  void Add(const common::FlowKey& flow, const HalfOpenFlow& half_open);
  /// The client has completed the handshake: removes the entry and returns the
  /// target that the SYN was last sent to.
  std::optional<TargetIndex> Finish(const common::FlowKey& flow);
  /// The process was paused: SYNs that were queued in its socket meanwhile are
  /// no evidence about targets.
  void OnPause(std::chrono::milliseconds now);
  void Expire(std::chrono::milliseconds now);
  std::size_t Size() const { return this->half_open_flows.size(); }

 private:
  struct Due {
    std::chrono::milliseconds at;
    common::FlowKey flow;
  };

  std::unordered_map<common::FlowKey, HalfOpenFlow, FlowHash> half_open_flows;
  std::deque<Due> due;
};

}  // namespace sassafrasdyke::core

/// Open flows whose route or target the view lacks.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "common/flow_key.h"
#include "core/steering/flow_memory.h"

namespace sassafrasdyke::core {

/// Tells flows whose route or target has ended from those that another instance
/// has opened on one that this instance hasn't learnt of. The age of a view
/// doesn't show it: the route or target may have been published after the last
/// confirmation, however recent. A view that was confirmed after the flow's
/// first packet does, as the flow was open by then. Times are monotonic.
class UnknownFlows {
 public:
  /// A packet of `flow` came whose route or target the view lacks. Returns
  /// whether the view, confirmed at `confirmed_at` (nothing if never), shows
  /// that it has ended.
  bool HasEnded(const common::FlowKey& flow,
                std::optional<std::chrono::milliseconds> confirmed_at,
                std::chrono::milliseconds now);
  /// When the flow's first packet came; nothing if it isn't remembered.
  std::optional<std::chrono::milliseconds> FirstSeen(
      const common::FlowKey& flow) const;
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

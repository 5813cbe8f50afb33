/// Queue of SYNs that wait until a target has capacity for them.
///
/// The order decides how many callers are served in time. SYNs that can still
/// be served in time go before late ones, newest first: in the order of
/// arrival, each would wait until it is late as well. Late ones go oldest
/// first, so that as many as possible are served before their callers give up.
/// The queue itself refuses no SYN for waiting: its client retransmits it,
/// perhaps to an instance that has capacity.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "common/flow_key.h"
#include "core/steering/flow_memory.h"
#include "core/steering/flow_packet.h"
#include "core/view/route_table.h"

namespace sassafrasdyke::core {

/// A SYN as received.
struct QueuedSyn {
  common::FlowKey flow;
  std::vector<std::uint8_t> bytes;
  /// From then on the client may have retransmitted the SYN, so this copy must
  /// no longer be forwarded: two targets would open the flow.
  std::chrono::milliseconds superseded_at{0};
};

/// A client gives up this long after the first copy of its SYN.
inline constexpr std::chrono::milliseconds kSynLife{1400};

/// Bounded in number. Times are monotonic.
class SynQueue {
 public:
  /// SYNs of one route, ordered by when the client sent the first copy.
  using Queue = std::multimap<std::chrono::milliseconds, QueuedSyn>;
  using Queues = std::unordered_map<common::Endpoint, Queue, EndpointHash>;

  /// Queues the SYN that arrived at `arrived_at` and replaces an earlier copy.
  /// Returns false when the queue is full.
  bool Hold(const FlowPacket& packet, std::span<const std::uint8_t> bytes,
            std::chrono::milliseconds arrived_at);
  /// Removes the flow's SYN: the flow was opened through another instance, or
  /// the client has given up.
  void Forget(const common::FlowKey& flow);
  /// Removes and returns the next SYN of `route`. One whose client has waited
  /// for `in_time` or less can still be served in time.
  std::optional<QueuedSyn> Take(const common::Endpoint& route,
                                std::chrono::milliseconds in_time,
                                std::chrono::milliseconds now);
  /// Removes and returns the flow's SYN, superseded or not.
  std::optional<QueuedSyn> Take(const common::FlowKey& flow);
  /// Drops superseded SYNs; returns their number.
  std::size_t Expire(std::chrono::milliseconds now);
  /// Drops all.
  void Clear();

  /// The routes for which SYNs wait.
  std::vector<common::Endpoint> Routes() const;
  std::size_t Size() const { return this->positions.size(); }
  bool Full() const;
  bool Contains(const common::FlowKey& flow) const {
    return this->positions.contains(flow);
  }
  /// The queued SYNs by route; superseded ones may be among them.
  const Queues& ByRoute() const { return this->queues; }

 private:
  QueuedSyn Remove(Queues::iterator queue, Queue::iterator queued);

  Queues queues;
  std::unordered_map<common::FlowKey, Queue::iterator, FlowHash> positions;
};

}  // namespace sassafrasdyke::core

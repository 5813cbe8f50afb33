/// Remembers which flows were recently forwarded to which target, so that their
/// clients can be sent resets when the target ends.
///
/// Without a reset, a client notices the end only with its next request. If
/// that request isn't idempotent it can't be retried then, though it never ran:
/// the booking is lost. After a reset in time the client opens another flow
/// first. Nothing else depends on this: the client of a flow that isn't
/// remembered gets a reset once the view shows that its target has ended.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/flow_key.h"
#include "core/steering/flow_packet.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Hashes flows for tables that never leave the process.
struct FlowHash {
  std::size_t operator()(const common::FlowKey& flow) const {
    return static_cast<std::size_t>(common::FingerprintOf(flow, 0).value);
  }
};

/// What a packet of an established flow adds to the one before.
struct FlowProgress {
  /// It acknowledges new data, so the target has answered.
  bool answered{false};
  /// It carries new data: a request, no retransmission.
  bool requests{false};
  /// It is the first packet to show that the flow's last request failed: a
  /// retransmission, or a reset by the client before any answer.
  bool shows_failure{false};
};

/// What an instance has seen of an open flow.
struct FlowSighting {
  std::chrono::milliseconds first_seen{0};  ///< When its first packet came.
  /// Its SYN was sent from here to the target that it is at.
  bool opened_here{false};
};

/// Bounded in number: beyond the bound new flows aren't remembered.
class FlowMemory {
 public:
  /// `flow_life`: the longest that a flow stays open.
  explicit FlowMemory(std::chrono::milliseconds flow_life)
      : flow_life(flow_life) {}

  /// Records a packet of a client that is forwarded to `target`.
  FlowProgress OnForwarded(const FlowPacket& packet, TargetIndex target,
                           std::chrono::milliseconds now);
  /// The flow was opened by a SYN that was sent from here to its target.
  void OnOpenedHere(const common::FlowKey& flow);
  /// Nothing if the flow isn't remembered.
  std::optional<FlowSighting> Sighting(const common::FlowKey& flow) const;
  /// The client opens another flow under this key.
  void Forget(const common::FlowKey& flow) { this->flows.erase(flow); }
  /// Whether there are flows at `target` that Take() hasn't returned.
  bool HasFlowsOf(TargetIndex target) const;
  /// Returns those flows at `target` that `ended` accepts, each as a packet
  /// with the fields of the client's last one that a reset needs. Returns a
  /// flow once, unless further packets of it come.
  std::vector<FlowPacket> Take(
      TargetIndex target,
      const std::function<bool(const FlowSighting&)>& ended);
  /// Removes flows that must have ended, in a scan of all of them every few
  /// seconds.
  void Expire(std::chrono::milliseconds now);
  std::size_t Size() const { return this->flows.size(); }

 private:
  struct Entry {
    TargetIndex target;
    std::uint32_t acknowledgement{0};
    /// The sequence number after the last byte.
    std::uint32_t next_sequence{0};
    FlowSighting sighting;
    std::chrono::milliseconds seen_at{0};
    bool awaits_answer{false};  ///< And its failure hasn't been shown.
    bool taken{false};          ///< Take() has returned it.
  };
  using Flows = std::unordered_map<common::FlowKey, Entry, FlowHash>;

  /// The client closes or resets the flow.
  FlowProgress OnEnd(const FlowPacket& packet, Flows::iterator flow);

  std::chrono::milliseconds flow_life;
  Flows flows;
  std::chrono::milliseconds expired_at{0};
};

}  // namespace sassafrasdyke::core

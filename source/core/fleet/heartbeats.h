/// Sends heartbeats to peers and tracks which of them have stopped answering.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/configuration.h"
#include "core/fleet/call_context.h"
#include "core/fleet/jitter.h"
#include "core/fleet/peer_plan.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Whether any instance of another failure domain answers over this instance's
/// link to it.
struct LinkState {
  common::DomainId domain;
  bool reachable{true};
};

/// The heartbeats of one instance. Only an answer proves that a peer is alive:
/// its own messages also arrive over a one-way partition or a half-open
/// connection.
class Heartbeats {
 public:
  explicit Heartbeats(std::uint64_t seed);

  /// Sets which peers to watch; the silence of a newly watched peer is measured
  /// from `now`.
  void SetPlan(const PeerPlan& plan, std::chrono::milliseconds now);

  /// Measures the silence of every peer from `now`. Called when this instance
  /// itself was paused or isolated, so that missing answers prove nothing.
  void RestartSilences(std::chrono::milliseconds now);

  /// Measures the silence of `id` from `now`, after a report of its own.
  void RestartSilence(common::InstanceId id, std::chrono::milliseconds now);

  /// Sends the heartbeats that are due. `content` is complete but for the
  /// sequence; `extra` are peers to contact besides the watched ones.
  void OnTick(const CallContext& context, const FleetPolicy& policy,
              const Heartbeat& content,
              const std::vector<common::InstanceId>& extra);

  /// Sends a heartbeat request to one peer now.
  void SendRequest(const CallContext& context, common::InstanceId to,
                   Heartbeat content) const;

  /// Handles an answer. Returns when its request was sent, or nothing if this
  /// process sent no such request.
  std::optional<std::chrono::milliseconds> OnAnswer(
      common::InstanceId from, common::DomainId domain, std::uint64_t sequence,
      std::chrono::milliseconds now);

  /// True when the watched peer has answered nothing for longer than
  /// `suspect_after` and for longer than `kMinUnanswered` intervals.
  bool IsSilent(common::InstanceId id, std::chrono::milliseconds now,
                const FleetPolicy& policy) const;

  std::vector<LinkState> Links(std::chrono::milliseconds now,
                               const FleetPolicy& policy) const;
  /// The current partner of each link.
  std::vector<common::InstanceId> LinkPartners() const;

 private:
  struct Link {
    std::vector<common::InstanceId> partners;
    std::size_t current{0};
    std::chrono::milliseconds partner_since{0};
    std::chrono::milliseconds domain_since{0};
  };

  void ReplaceSilentPartners(std::chrono::milliseconds now,
                             const FleetPolicy& policy);

  std::uint64_t first_sequence;
  Jitter jitter;
  /// When the silence of each watched peer began: the send time of the newest
  /// request that it answered, or the last restart.
  std::map<common::InstanceId, std::chrono::milliseconds> watched;
  std::map<common::DomainId, Link> links;
  /// The time between requests, lengthened where the budget requires it.
  std::chrono::milliseconds interval{0};
  std::chrono::milliseconds next_watch{0};
  std::chrono::milliseconds next_link{0};
};

}  // namespace sassafrasdyke::core

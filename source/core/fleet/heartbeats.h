/// Asks peers for signs of life and knows who has stopped answering.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/configuration.h"
#include "core/fleet/jitter.h"
#include "core/fleet/peer_plan.h"
#include "core/fleet/turn.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Whether another failure domain answers over one link.
struct LinkState {
  common::DomainId domain;
  bool reachable{true};
};

/// The heartbeats of one instance. A peer is alive when it answers: a sign that
/// it can send is not enough, since a one-way cut or a half-open connection
/// still lets its messages through.
class Heartbeats {
 public:
  explicit Heartbeats(std::uint64_t seed);

  /// Takes new duties; the silence of a newly watched peer counts from `now`.
  void SetPlan(const PeerPlan& plan, std::chrono::milliseconds now);

  /// Counts every silence from `now`: what was missed, this instance missed.
  void Restart(std::chrono::milliseconds now);

  /// Counts the silence of `id` from `now`, because it has spoken for itself.
  void Excuse(common::InstanceId id, std::chrono::milliseconds now);

  /// Sends what is due. `content` carries all but the sequence; `extra` are
  /// further peers to ask.
  void OnTick(const Turn& turn, const FleetPolicy& policy,
              const Heartbeat& content,
              const std::vector<common::InstanceId>& extra);

  /// Asks one peer now.
  void Ask(const Turn& turn, common::InstanceId to, Heartbeat content) const;

  /// Takes an answer; returns when its question was asked, or nothing when no
  /// question of this life fits.
  std::optional<std::chrono::milliseconds> OnAnswer(
      common::InstanceId from, common::DomainId domain, std::uint64_t sequence,
      std::chrono::milliseconds now);

  /// True when the watched peer has left all questions unanswered for longer
  /// than the policy allows and than a few questions take.
  bool Silent(common::InstanceId id, std::chrono::milliseconds now,
              const FleetPolicy& policy) const;

  std::vector<LinkState> Links(std::chrono::milliseconds now,
                               const FleetPolicy& policy) const;
  /// Whom the links talk to now.
  std::vector<common::InstanceId> LinkPartners() const;

 private:
  struct Link {
    std::vector<common::InstanceId> partners;
    std::size_t current{0};
    std::chrono::milliseconds partner_since{0};
    std::chrono::milliseconds domain_since{0};
  };

  void TurnToNextPartners(std::chrono::milliseconds now,
                          const FleetPolicy& policy);

  std::uint64_t first_sequence;
  Jitter jitter;
  /// The moment from which the silence of each watched peer counts.
  std::map<common::InstanceId, std::chrono::milliseconds> watched;
  std::map<common::DomainId, Link> links;
  /// The time between questions, stretched to fit the budget.
  std::chrono::milliseconds interval{0};
  std::chrono::milliseconds next_watch{0};
  std::chrono::milliseconds next_link{0};
};

}  // namespace sassafrasdyke::core

/// Keeps control traffic inside its budgets: a token bucket and a bounded queue
/// for each kind of message.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "common/token_bucket.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// The average of heartbeats and their answers that `policy` allows, in bytes a
/// second.
std::size_t HeartbeatBytesPerSecond(const FleetPolicy& policy);

/// Decides when a control message may leave.
class SendLimiter {
 public:
  SendLimiter();

  /// Shares out the fleet's published budget.
  void SetPolicy(const FleetPolicy& policy);

  /// Puts `message` into `out`, or into its kind's queue while the budget is
  /// spent, or drops and counts it when the queue is full. Heartbeats and
  /// documents never wait: late ones would say something old. False when the
  /// message will never leave.
  bool Send(OutgoingMessage message, std::chrono::milliseconds now,
            std::vector<OutgoingMessage>& out);

  /// Lets waiting messages leave that the budget now allows, and drops those
  /// that have waited too long.
  void Flush(std::chrono::milliseconds now, std::vector<OutgoingMessage>& out);

  /// What was used of each budget, in the order of `MessageBudget`.
  std::vector<BudgetStatus> Status() const;
  std::uint64_t Limited() const;

 private:
  struct Waiting {
    OutgoingMessage message;
    std::size_t bytes{0};
    std::chrono::milliseconds since{0};
  };
  struct Lane {
    common::TokenBucket bucket{common::BucketLimits{}};
    std::deque<Waiting> queue;
    BudgetStatus status;
  };

  Lane& LaneOf(const PeerMessage& message);
  static void Leave(Lane& lane, std::size_t bytes, OutgoingMessage message,
                    std::vector<OutgoingMessage>& out);

  std::array<Lane, kMessageBudgets> lanes;
};

}  // namespace sassafrasdyke::core

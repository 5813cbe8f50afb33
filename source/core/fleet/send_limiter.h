/// Rate-limits control traffic: a token bucket and a bounded queue for each
/// budget.
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

/// The bytes per second that `policy` allows for heartbeats and their answers.
std::size_t HeartbeatBytesPerSecond(const FleetPolicy& policy);

/// Decides when control messages are sent.
class SendLimiter {
 public:
  SendLimiter();

  /// Divides the fleet's published budget among the kinds of messages.
  void SetPolicy(const FleetPolicy& policy);

  /// Appends `message` to `out`, or queues it while its budget is exhausted, or
  /// drops it when the queue is full. Heartbeats and documents are dropped
  /// rather than queued, since late ones would be outdated. False when the
  /// message was dropped.
  bool Send(OutgoingMessage message, std::chrono::milliseconds now,
            std::vector<OutgoingMessage>& out);

  /// Appends the queued messages that the budget now allows to `out`, and drops
  /// those that have waited too long.
  void Flush(std::chrono::milliseconds now, std::vector<OutgoingMessage>& out);

  /// The use of each budget, in the order of `MessageBudget`.
  std::vector<BudgetStatus> Status() const;
  std::uint64_t Limited() const;

 private:
  struct QueuedMessage {
    OutgoingMessage message;
    std::size_t bytes{0};
    std::chrono::milliseconds since{0};
  };
  /// The rate limit, queue and counters of one budget.
  struct Lane {
    common::TokenBucket bucket{common::BucketLimits{}};
    std::deque<QueuedMessage> queue;
    BudgetStatus status;
  };

  Lane& LaneOf(const PeerMessage& message);
  static void Emit(Lane& lane, std::size_t bytes, OutgoingMessage message,
                   std::vector<OutgoingMessage>& out);

  std::array<Lane, kMessageBudgets> lanes;
};

}  // namespace sassafrasdyke::core

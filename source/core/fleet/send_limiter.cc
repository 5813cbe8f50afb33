#include "core/fleet/send_limiter.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "core/fleet/message_size.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::size_t kPercent = 100;
constexpr std::size_t kHeartbeatPercent = 45;
constexpr std::size_t kMaxQueued = 256;
constexpr std::chrono::milliseconds kMaxWait{5000};

/// The rate of one budget, as a share of what is left after exception copies,
/// and its burst, in seconds at that rate. The failure of a rack causes some
/// hundred reports, which every instance relays three times. They must be sent
/// at once: while they queue, some instances still send flows to dead owners.
struct LaneShape {
  MessageBudget budget;
  std::size_t percent;
  std::size_t burst_seconds;
};

constexpr std::array<LaneShape, kMessageBudgets - 1> kShapes{{
    {MessageBudget::kHeartbeats, kHeartbeatPercent, 2},
    {MessageBudget::kMembers, 15, 80},
    {MessageBudget::kDeltas, 25, 20},
    {MessageBudget::kRequests, 5, 10},
    {MessageBudget::kHealth, 10, 20},
}};

/// A whole document is up to a megabyte. At a budget of kilobytes per second a
/// joining instance would be useless for minutes. Copies are rare, so they have
/// a budget of their own, whose burst holds at least two copies.
constexpr common::BucketLimits kCopyLimits{.per_second = 65'536,
                                           .burst = 4'194'304};

bool MayQueue(MessageBudget budget) {
  return budget == MessageBudget::kMembers ||
         budget == MessageBudget::kRequests || budget == MessageBudget::kHealth;
}

/// What the published budget leaves after exception copies.
std::size_t ControlBytes(const FleetPolicy& policy) {
  return policy.control_bytes_per_second -
         std::min(policy.copy_bytes_per_second,
                  policy.control_bytes_per_second);
}

std::size_t IndexOf(MessageBudget budget) {
  return static_cast<std::size_t>(budget);
}

MessageBudget BudgetOf(const PeerMessage& message) {
  return std::visit(
      [](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, Heartbeat>) {
          return MessageBudget::kHeartbeats;
        } else if constexpr (std::is_same_v<Body, DocumentDelta>) {
          return MessageBudget::kDeltas;
        } else if constexpr (std::is_same_v<Body, DocumentCopy>) {
          return MessageBudget::kCopies;
        } else if constexpr (std::is_same_v<Body, DocumentRequest>) {
          return MessageBudget::kRequests;
        } else if constexpr (std::is_same_v<Body, TargetHealthChange>) {
          return MessageBudget::kHealth;
        } else {
          return MessageBudget::kMembers;
        }
      },
      message);
}

}  // namespace

std::size_t HeartbeatBytesPerSecond(const FleetPolicy& policy) {
  return ControlBytes(policy) * kHeartbeatPercent / kPercent;
}

SendLimiter::SendLimiter() {
  for (std::size_t lane = 0; lane < kMessageBudgets; ++lane) {
    this->lanes[lane].status.budget = static_cast<MessageBudget>(lane);
  }
  this->lanes[IndexOf(MessageBudget::kCopies)].bucket =
      common::TokenBucket(kCopyLimits);
  const std::size_t control = ControlBytes(FleetPolicy{});
  for (const LaneShape& shape : kShapes) {
    const std::size_t rate = control * shape.percent / kPercent;
    this->lanes[IndexOf(shape.budget)].bucket =
        common::TokenBucket({rate, rate * shape.burst_seconds});
  }
}

void SendLimiter::SetPolicy(const FleetPolicy& policy) {
  const std::size_t control = ControlBytes(policy);
  for (const LaneShape& shape : kShapes) {
    const std::size_t rate = control * shape.percent / kPercent;
    this->lanes[IndexOf(shape.budget)].bucket.SetLimits(
        {rate, rate * shape.burst_seconds});
  }
}

bool SendLimiter::Send(OutgoingMessage message, std::chrono::milliseconds now,
                       std::vector<OutgoingMessage>& out) {
  Lane& lane = this->LaneOf(message.message);
  const std::size_t bytes = EstimatedBytes(message.message);
  if (lane.queue.empty() && lane.bucket.Take(bytes, now)) {
    Emit(lane, bytes, std::move(message), out);
    return true;
  }
  ++lane.status.limited;
  const bool may_queue = MayQueue(lane.status.budget);
  // An unbounded queue would exhaust memory during a long overload, and its
  // messages would be outdated when sent. The digests in heartbeats make up for
  // dropped messages.
  if (!may_queue || lane.queue.size() >= kMaxQueued) {
    // A refused delta isn't lost: `DocumentExchange` pushes it again later.
    const bool deferred = lane.status.budget == MessageBudget::kDeltas;
    lane.status.dropped += deferred ? 0 : 1;
    return false;
  }
  lane.queue.push_back({std::move(message), bytes, now});
  return true;
}

void SendLimiter::Flush(std::chrono::milliseconds now,
                        std::vector<OutgoingMessage>& out) {
  for (Lane& lane : this->lanes) {
    while (!lane.queue.empty()) {
      QueuedMessage& first = lane.queue.front();
      if (now - first.since > kMaxWait) {
        ++lane.status.dropped;
      } else if (lane.bucket.Take(first.bytes, now)) {
        Emit(lane, first.bytes, std::move(first.message), out);
      } else {
        break;
      }
      lane.queue.pop_front();
    }
  }
}

std::vector<BudgetStatus> SendLimiter::Status() const {
  std::vector<BudgetStatus> status;
  for (const Lane& lane : this->lanes) {
    status.push_back(lane.status);
    status.back().waiting = lane.queue.size();
  }
  return status;
}

std::uint64_t SendLimiter::Limited() const {
  std::uint64_t limited = 0;
  for (const Lane& lane : this->lanes) {
    limited += lane.status.limited;
  }
  return limited;
}

SendLimiter::Lane& SendLimiter::LaneOf(const PeerMessage& message) {
  return this->lanes[IndexOf(BudgetOf(message))];
}

void SendLimiter::Emit(Lane& lane, std::size_t bytes, OutgoingMessage message,
                       std::vector<OutgoingMessage>& out) {
  ++lane.status.messages;
  lane.status.bytes += bytes;
  out.push_back(std::move(message));
}

}  // namespace sassafrasdyke::core

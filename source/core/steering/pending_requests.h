/// Tracks requests in flight: those that this instance has forwarded to targets
/// and for which it has not yet seen a client acknowledge the answer.
///
/// The instance sees clients' packets only. An answer of two packets or more is
/// acknowledged at once; the acknowledgement of a shorter one waits for the
/// client's next request, so such a request is counted for a bounded time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "common/flow_key.h"
#include "core/steering/flow_memory.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Timing of an answer.
struct AnswerTiming {
  std::chrono::milliseconds sent_at{0};  ///< The flow's SYN, or the request.
  std::chrono::milliseconds took{0};     ///< From `sent_at` on.
  /// Round trip from this instance over the target and the client back, seen in
  /// the handshake; 0 for a request on a flow that was already open.
  std::chrono::milliseconds round_trip{0};

  /// Total network time: a round trip for the handshake and one for the
  /// request.
  std::chrono::milliseconds NetworkTime() const { return 2 * this->round_trip; }
  /// Time that the target took, with its queue.
  std::chrono::milliseconds TimeAtTarget() const {
    return std::max(this->took - this->NetworkTime(),
                    std::chrono::milliseconds{0});
  }
};

/// Counts requests in flight by target. Times are monotonic.
class PendingRequests {
 public:
  /// A new flow was sent to `target`; its first request follows at once.
  void OnPlaced(const common::FlowKey& flow, TargetIndex target,
                std::chrono::milliseconds now);
  /// A request was forwarded on an established flow. Returns whether it is the
  /// first one, which `OnPlaced` has counted.
  bool OnRequest(const common::FlowKey& flow, TargetIndex target,
                 std::chrono::milliseconds now);
  /// The client acknowledged data of the answer. `at_once`: with a packet that
  /// carries no request, so that the time is the answer's. Returns the timing
  /// only then.
  std::optional<AnswerTiming> OnAnswer(const common::FlowKey& flow,
                                       bool at_once,
                                       std::chrono::milliseconds now);
  /// The flow has closed.
  void OnEnd(const common::FlowKey& flow);
  void OnPause() { *this = PendingRequests(); }
  /// Stops counting requests that have taken too long.
  void Expire(std::chrono::milliseconds now);

  /// Number of requests currently counted at the target.
  std::size_t CountAt(TargetIndex target) const;
  /// The same for all targets that have any.
  const std::unordered_map<TargetIndex, std::size_t>& Counts() const {
    return this->counts;
  }
  /// Requests at the target whose answer has not been seen, including those
  /// that are too old to be counted by `CountAt`; only of routes most of whose
  /// answers are seen.
  std::size_t UnansweredAt(TargetIndex target) const;
  /// Moving average of the answer time, from the request or the SYN; 0 before
  /// the first answer.
  std::chrono::milliseconds AnswerTime() const;
  /// Whether enough answers are seen for the counts to be meaningful.
  bool MostAnswersSeen() const;

 private:
  struct Pending {
    TargetIndex target;
    std::chrono::milliseconds since{0};
    bool counted{true};
    bool unanswered{false};  ///< Counted by UnansweredAt.
    bool requested{false};   ///< A request has followed the SYN.
    std::chrono::milliseconds round_trip{0};  ///< From SYN to request.
  };
  struct Due {
    std::chrono::milliseconds since{0};
    common::FlowKey flow;
  };
  using Table = std::unordered_map<common::FlowKey, Pending, FlowHash>;

  void Add(const common::FlowKey& flow, Pending pending);
  void Remove(Table::iterator entry);
  void Uncount(Pending& pending);
  void NoteSeen(const common::Endpoint& route, bool seen);
  /// Moving average of the fraction of the route's answers that are
  /// acknowledged at once.
  double SeenShareOf(const common::Endpoint& route) const;
  /// How long a request without an answer counts.
  std::chrono::milliseconds CountingTime() const;
  /// The entry that `due` was queued for; the end when it is gone or renewed.
  Table::iterator Find(const Due& due);

  Table table;
  std::unordered_map<TargetIndex, std::size_t> counts;
  std::unordered_map<TargetIndex, std::size_t> unanswered;
  std::deque<Due> to_uncount;
  std::deque<Due> to_forget;
  double answer_ms{0};  ///< 0 before the first answer.
  double seen_share{1.0};
  std::unordered_map<common::Endpoint, double, EndpointHash> seen_by_route;
};

}  // namespace sassafrasdyke::core

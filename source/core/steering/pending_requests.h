/// Requests that targets are believed to be working on, as far as this instance
/// has forwarded them and has not yet seen a client acknowledge the answer.
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

/// How an answer came about.
struct AnswerTiming {
  std::chrono::milliseconds sent_at{0};  ///< Its SYN, or its request.
  std::chrono::milliseconds took{0};     ///< From then on.
  /// The way to the target, the client and back, as the SYN showed it; 0 for a
  /// request on a flow that was open before.
  std::chrono::milliseconds round_trip{0};

  /// The flow was opened and then asked, each with one round trip.
  std::chrono::milliseconds Way() const { return 2 * this->round_trip; }
  /// What the target took for it.
  std::chrono::milliseconds AtTarget() const {
    return std::max(this->took - this->Way(), std::chrono::milliseconds{0});
  }
};

/// Counts by target. Times are monotonic.
class PendingRequests {
 public:
  /// A new flow was sent to `target`; its first request follows at once.
  void OnPlaced(const common::FlowKey& flow, TargetIndex target,
                std::chrono::milliseconds now);
  /// A request was forwarded on an established flow.
  void OnRequest(const common::FlowKey& flow, TargetIndex target,
                 std::chrono::milliseconds now);
  /// The client acknowledged more of the answer. `at_once`: with a packet that
  /// carries no request, so the time says how long the target took.
  /// Returns that.
  std::optional<AnswerTiming> OnAnswer(const common::FlowKey& flow,
                                       bool at_once,
                                       std::chrono::milliseconds now);
  /// The flow has closed.
  void OnEnd(const common::FlowKey& flow);
  void OnPause() { *this = PendingRequests(); }
  /// Stops counting requests that have taken too long.
  void Expire(std::chrono::milliseconds now);

  /// Requests now counted at the target.
  std::size_t At(TargetIndex target) const;
  /// The same of all targets that have any.
  const std::unordered_map<TargetIndex, std::size_t>& Counts() const {
    return this->counts;
  }
  /// Requests at the target that nobody has seen answered yet, also those that
  /// have taken too long to be counted by `At`; only of routes most of whose
  /// answers are seen.
  std::size_t UnansweredAt(TargetIndex target) const;
  /// How long answers have lately taken, from the request or the SYN.
  std::chrono::milliseconds AnswerTime() const;
  /// Whether most answers are seen. Where they are not, the counts say little.
  bool MostAreSeen() const;

 private:
  struct Pending {
    TargetIndex target;
    std::chrono::milliseconds since{0};
    bool counted{true};
    bool unanswered{false};  ///< Counted by UnansweredAt.
    bool requested{false};   ///< A request has followed the SYN.
    std::chrono::milliseconds round_trip{0};  ///< Between the two.
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
  /// Part of the route's answers that are seen at once, lately.
  double SeenShareOf(const common::Endpoint& route) const;
  /// How long a request without an answer counts.
  std::chrono::milliseconds CountedFor() const;
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

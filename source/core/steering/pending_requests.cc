#include "core/steering/pending_requests.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// A request counts for this multiple of the answer time, so that one whose
/// short answer is never acknowledged stops counting soon after it is served.
constexpr double kCountedAnswerTimes = 4.0;
/// Bounds of that time. The lower one covers two round trips between failure
/// domains; past the upper one an answer shows nothing about the present.
constexpr milliseconds kMinCountingTime{30};
constexpr milliseconds kMaxRequestAge{2000};
/// How long a request counts before any answer has shown how long they take.
/// Past it a target may be dead, and requests that wait there must not keep new
/// flows from targets that have capacity.
constexpr milliseconds kInitialCountingTime{150};
/// Maximum number of tracked requests, about 1 MB: 4,000 a second for two
/// seconds, many times the share of one of 810 instances.
constexpr std::size_t kMaxRequests = 8192;
/// Maximum number of routes with statistics. When it is reached, all are
/// cleared, so that routes withdrawn long ago take no memory.
constexpr std::size_t kMaxRoutes = 4096;
/// Weight of the newest answer in the moving averages, which span some ten
/// answers.
constexpr double kNewestWeight = 0.1;
/// With a smaller share of seen answers, most counted requests were served long
/// ago.
constexpr double kMinSeenShare = 0.4;

void DecreaseOrErase(std::unordered_map<TargetIndex, std::size_t>& counts,
                     TargetIndex target) {
  const auto count = counts.find(target);
  if (--count->second == 0) {
    counts.erase(count);
  }
}

double Average(double old, double newest) {
  return old + kNewestWeight * (newest - old);
}

}  // namespace

void PendingRequests::OnPlaced(const common::FlowKey& flow, TargetIndex target,
                               milliseconds now) {
  this->OnEnd(flow);
  this->Add(flow, {target, now});
}

bool PendingRequests::OnRequest(const common::FlowKey& flow, TargetIndex target,
                                milliseconds now) {
  if (const auto found = this->table.find(flow); found != this->table.end()) {
    if (!found->second.requested) {
      found->second.requested = true;
      found->second.round_trip = now - found->second.since;
      return true;
    }
    // The client got its answer, or it would not send another request; how long
    // the answer took isn't known.
    this->NoteSeen(flow.service, false);
    this->Remove(found);
  }
  this->Add(flow, {target, now, true, false, true});
  return false;
}

std::optional<AnswerTiming> PendingRequests::OnAnswer(
    const common::FlowKey& flow, bool at_once, milliseconds now) {
  const auto found = this->table.find(flow);
  if (found == this->table.end()) {
    return std::nullopt;
  }
  const AnswerTiming timing{found->second.since, now - found->second.since,
                            found->second.round_trip};
  this->NoteSeen(flow.service, at_once);
  this->Remove(found);
  if (!at_once) {
    return std::nullopt;
  }
  const auto took_ms = static_cast<double>(timing.took.count());
  this->answer_ms =
      this->answer_ms == 0 ? took_ms : Average(this->answer_ms, took_ms);
  return timing;
}

void PendingRequests::OnEnd(const common::FlowKey& flow) {
  if (const auto found = this->table.find(flow); found != this->table.end()) {
    this->Remove(found);
  }
}

void PendingRequests::Expire(milliseconds now) {
  while (!this->to_uncount.empty() &&
         now - this->to_uncount.front().since >= this->CountingTime()) {
    if (const auto found = this->Find(this->to_uncount.front());
        found != this->table.end()) {
      this->Uncount(found->second);
    }
    this->to_uncount.pop_front();
  }
  while (!this->to_forget.empty() &&
         now - this->to_forget.front().since >= kMaxRequestAge) {
    if (const auto found = this->Find(this->to_forget.front());
        found != this->table.end()) {
      if (found->second.requested) {
        this->NoteSeen(found->first.service, false);
      }
      this->Remove(found);
    }
    this->to_forget.pop_front();
  }
}

std::size_t PendingRequests::CountAt(TargetIndex target) const {
  const auto found = this->counts.find(target);
  return found == this->counts.end() ? 0 : found->second;
}

std::size_t PendingRequests::UnansweredAt(TargetIndex target) const {
  const auto found = this->unanswered.find(target);
  return found == this->unanswered.end() ? 0 : found->second;
}

milliseconds PendingRequests::AnswerTime() const {
  return milliseconds(static_cast<milliseconds::rep>(this->answer_ms));
}

bool PendingRequests::MostAnswersSeen() const {
  return this->seen_share >= kMinSeenShare;
}

// A request whose short answer is acknowledged only with the client's next
// request looks unanswered long after it was served. A target that has just
// joined has no such requests and would get every new flow for two seconds.
void PendingRequests::Add(const common::FlowKey& flow, Pending pending) {
  if (this->to_forget.size() >= kMaxRequests) {
    return;
  }
  pending.unanswered = this->SeenShareOf(flow.service) >= kMinSeenShare;
  this->table.insert_or_assign(flow, pending);
  ++this->counts[pending.target];
  if (pending.unanswered) {
    ++this->unanswered[pending.target];
  }
  this->to_uncount.push_back({pending.since, flow});
  this->to_forget.push_back({pending.since, flow});
}

void PendingRequests::Remove(Table::iterator entry) {
  this->Uncount(entry->second);
  if (entry->second.unanswered) {
    DecreaseOrErase(this->unanswered, entry->second.target);
  }
  this->table.erase(entry);
}

void PendingRequests::Uncount(Pending& pending) {
  if (!pending.counted) {
    return;
  }
  pending.counted = false;
  DecreaseOrErase(this->counts, pending.target);
}

void PendingRequests::NoteSeen(const common::Endpoint& route, bool seen) {
  const double newest = seen ? 1.0 : 0.0;
  this->seen_share = Average(this->seen_share, newest);
  if (this->seen_by_route.size() >= kMaxRoutes) {
    this->seen_by_route.clear();
  }
  this->seen_by_route[route] = Average(this->SeenShareOf(route), newest);
}

double PendingRequests::SeenShareOf(const common::Endpoint& route) const {
  const auto found = this->seen_by_route.find(route);
  return found == this->seen_by_route.end() ? 1.0 : found->second;
}

milliseconds PendingRequests::CountingTime() const {
  if (this->answer_ms == 0) {
    return kInitialCountingTime;
  }
  const milliseconds scaled(
      static_cast<milliseconds::rep>(kCountedAnswerTimes * this->answer_ms));
  return std::clamp(scaled, kMinCountingTime, kMaxRequestAge);
}

PendingRequests::Table::iterator PendingRequests::Find(const Due& due) {
  const auto found = this->table.find(due.flow);
  const bool same =
      found != this->table.end() && found->second.since == due.since;
  return same ? found : this->table.end();
}

}  // namespace sassafrasdyke::core

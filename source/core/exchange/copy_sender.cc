#include "core/exchange/copy_sender.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Flows named by one message at most.
constexpr std::size_t kBatch = 128;
/// Messages on their way without an answer, per partition.
constexpr std::uint64_t kWindow = 16;
/// Encoded sizes that the budget is charged with: MessagePack with the frame
/// around it, and the acknowledgement.
constexpr std::size_t kMessageBytes = 80;
constexpr std::size_t kAddedBytes = 14;
constexpr std::size_t kEndedBytes = 9;
/// Small batches wait for company: a message's frame costs as much as several
/// flows.
constexpr std::chrono::milliseconds kCompany{1000};
constexpr std::chrono::milliseconds kFirstPatience{1000};
constexpr std::chrono::milliseconds kLongestPatience{std::chrono::minutes{1}};

std::size_t BytesOf(std::size_t added, std::size_t ended) {
  return kMessageBytes + added * kAddedBytes + ended * kEndedBytes;
}

bool IsEmpty(const OutgoingSet& set) {
  return set.added.empty() && set.ended.empty();
}

bool IsFinished(const OutgoingSet& set) {
  return set.last_sequence && set.acknowledged > *set.last_sequence;
}

void WantWhole(OutgoingSet& set) {
  set.gathering = Gathering::kWhole;
  set.in_whole = false;
  set.added.clear();
  set.ended.clear();
  set.last_sequence.reset();
}

template <typename T>
std::vector<T> TakeFront(std::deque<T>& queue, std::size_t most) {
  const auto end =
      queue.begin() + static_cast<std::ptrdiff_t>(std::min(most, queue.size()));
  std::vector<T> taken(queue.begin(), end);
  queue.erase(queue.begin(), end);
  return taken;
}

}  // namespace

void CopySender::SetLimits(common::BucketLimits copies,
                           common::BucketLimits hand_overs) {
  this->copy_budget.SetLimits(copies);
  this->hand_over_budget.SetLimits(hand_overs);
}

void CopySender::Start(const PartitionKey& partition,
                       const CopyDestination& destination, CopyPurpose purpose,
                       common::TargetId fallback) {
  const auto found = this->sets.find(partition);
  const bool continues = found != this->sets.end() &&
                         found->second.destination == destination &&
                         found->second.fallback == fallback;
  if (!continues) {
    OutgoingSet& set = this->sets[partition];
    set = OutgoingSet{};
    set.destination = destination;
    set.purpose = purpose;
    set.fallback = fallback;
    return;
  }
  OutgoingSet& set = found->second;
  set.purpose = purpose;
  set.last_sequence.reset();
  if (purpose == CopyPurpose::kHandOver && set.gathering == Gathering::kNone) {
    set.gathering = Gathering::kRest;
  }
}

void CopySender::SetComplete(const PartitionKey& partition, bool complete) {
  if (const auto found = this->sets.find(partition);
      found != this->sets.end()) {
    found->second.complete = complete;
  }
}

void CopySender::SetOpeningsKnown(
    const PartitionKey& partition,
    std::optional<std::chrono::milliseconds> since) {
  if (const auto found = this->sets.find(partition);
      found != this->sets.end()) {
    found->second.openings_known_since = since;
  }
}

const OutgoingSet* CopySender::Find(const PartitionKey& partition) const {
  const auto found = this->sets.find(partition);
  return found == this->sets.end() ? nullptr : &found->second;
}

std::map<PartitionKey, Gathering> CopySender::Wanted() const {
  std::map<PartitionKey, Gathering> wanted;
  for (const auto& [partition, set] : this->sets) {
    if (set.gathering != Gathering::kNone) {
      wanted[partition] = set.gathering;
    }
  }
  return wanted;
}

void CopySender::Load(const PartitionKey& partition,
                      std::vector<FlowException> flows,
                      std::chrono::milliseconds now) {
  const auto found = this->sets.find(partition);
  if (found == this->sets.end()) {
    return;
  }
  OutgoingSet& set = found->second;
  if (set.gathering == Gathering::kWhole) {
    set.generation = ++this->generations;
    set.next_sequence = 0;
    set.acknowledged = 0;
    set.in_whole = true;
    set.added.clear();
    set.ended.clear();
  }
  set.gathering = Gathering::kNone;
  set.last_sequence.reset();
  set.added.insert(set.added.end(), flows.begin(), flows.end());
  set.queued_at = now;
}

void CopySender::Add(const PartitionKey& partition,
                     const FlowException& exception,
                     std::chrono::milliseconds now) {
  const auto found = this->sets.find(partition);
  if (found == this->sets.end()) {
    return;
  }
  OutgoingSet& set = found->second;
  set.queued_at = IsEmpty(set) ? now : set.queued_at;
  set.added.push_back(exception);
  set.last_sequence.reset();
}

void CopySender::End(const PartitionKey& partition, common::Fingerprint flow,
                     std::chrono::milliseconds now) {
  const auto found = this->sets.find(partition);
  if (found == this->sets.end()) {
    return;
  }
  OutgoingSet& set = found->second;
  set.queued_at = IsEmpty(set) ? now : set.queued_at;
  // A flow that is still waiting must not be named after its end.
  std::erase_if(set.added, [flow](const FlowException& exception) {
    return exception.flow == flow;
  });
  set.ended.push_back(flow);
}

bool CopySender::OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
                       std::chrono::milliseconds now) {
  const auto found = this->sets.find(ack.partition);
  if (found == this->sets.end() || ack.incarnation != this->incarnation) {
    return false;
  }
  OutgoingSet& set = found->second;
  if (set.destination.to != from || ack.generation != set.generation ||
      set.gathering == Gathering::kWhole) {
    return false;
  }
  if (ack.resend_whole) {
    WantWhole(set);
    return false;
  }
  set.acknowledged = std::max(set.acknowledged, ack.sequence + 1);
  set.sent_at = now;
  set.patience = kFirstPatience;
  return set.purpose == CopyPurpose::kHandOver && IsFinished(set);
}

void CopySender::Flush(std::chrono::milliseconds now, Outbox& outbox) {
  if (this->sets.empty()) {
    return;
  }
  auto next = this->sets.upper_bound(this->resume_after);
  for (std::size_t i = 0; i < this->sets.size(); ++i) {
    next = next == this->sets.end() ? this->sets.begin() : next;
    this->RestartIfOverdue(next->second, now);
    this->SendSome(next->first, next->second, now, outbox);
    this->resume_after = next->first;
    ++next;
  }
}

bool CopySender::IsDue(const OutgoingSet& set,
                       std::chrono::milliseconds now) const {
  if (set.gathering != Gathering::kNone ||
      set.next_sequence >= set.acknowledged + kWindow) {
    return false;
  }
  if (set.in_whole) {
    return true;
  }
  if (set.purpose == CopyPurpose::kHandOver) {
    return !IsEmpty(set) || (set.complete && !set.last_sequence);
  }
  return !IsEmpty(set) &&
         (set.added.size() >= kBatch / 2 || now - set.queued_at >= kCompany);
}

void CopySender::SendSome(const PartitionKey& partition, OutgoingSet& set,
                          std::chrono::milliseconds now, Outbox& outbox) {
  common::TokenBucket& budget = set.purpose == CopyPurpose::kHandOver
                                    ? this->hand_over_budget
                                    : this->copy_budget;
  while (this->IsDue(set, now)) {
    const std::size_t bytes = BytesOf(std::min(kBatch, set.added.size()),
                                      std::min(kBatch, set.ended.size()));
    if (!budget.Take(bytes, now)) {
      return;
    }
    if (set.acknowledged == set.next_sequence) {
      set.sent_at = now;  // Nothing was on its way: wait from here.
    }
    ExceptionCopy copy = this->NextMessage(partition, set);
    if (copy.last && set.openings_known_since) {
      outbox.messages.push_back(
          {set.destination.to,
           OpeningsKnown{partition, now - *set.openings_known_since}});
    }
    outbox.messages.push_back({set.destination.to, std::move(copy)});
  }
}

ExceptionCopy CopySender::NextMessage(const PartitionKey& partition,
                                      OutgoingSet& set) {
  ExceptionCopy copy;
  copy.partition = partition;
  copy.incarnation = this->incarnation;
  copy.generation = set.generation;
  copy.sequence = set.next_sequence++;
  copy.fallback = set.fallback;
  copy.added = TakeFront(set.added, kBatch);
  copy.ended = TakeFront(set.ended, kBatch);
  // The first message of a generation always says `whole`, so that it can be
  // told from a later one whose predecessors were lost.
  copy.whole = set.in_whole && (copy.sequence == 0 || !IsEmpty(set));
  set.in_whole = copy.whole;
  copy.last = set.purpose == CopyPurpose::kHandOver && set.complete &&
              !copy.whole && IsEmpty(set);
  if (copy.last) {
    set.last_sequence = copy.sequence;
  }
  return copy;
}

void CopySender::RestartIfOverdue(OutgoingSet& set,
                                  std::chrono::milliseconds now) {
  const bool waits =
      set.gathering == Gathering::kNone && set.next_sequence > set.acknowledged;
  set.patience = std::max(set.patience, kFirstPatience);
  if (!waits || now - set.sent_at < set.patience) {
    return;
  }
  WantWhole(set);
  set.sent_at = now;
  set.patience = std::min(kLongestPatience, 2 * set.patience);
}

std::size_t CopySender::Waiting() const {
  std::size_t waiting = 0;
  for (const auto& [partition, set] : this->sets) {
    waiting += set.added.size() + (set.next_sequence - set.acknowledged);
  }
  return waiting;
}

bool CopySender::IsHandingOver() const {
  return std::any_of(this->sets.begin(), this->sets.end(),
                     [](const auto& entry) {
                       return entry.second.purpose == CopyPurpose::kHandOver &&
                              !IsFinished(entry.second);
                     });
}

}  // namespace sassafrasdyke::core

#include "core/exchange/copy_sender.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Added, and likewise ended, flows in one message at most.
constexpr std::size_t kMaxFlowsPerMessage = 128;
/// Send window: unacknowledged messages per partition.
constexpr std::uint64_t kMaxUnacknowledged = 16;
/// Encoded sizes in bytes that are charged to the budget: the MessagePack body,
/// its frame and the acknowledgement.
constexpr std::size_t kMessageBytes = 80;
constexpr std::size_t kAddedBytes = 14;
constexpr std::size_t kEndedBytes = 9;
/// How long a small batch waits for more flows: a message's frame costs as much
/// as several flows.
constexpr std::chrono::milliseconds kBatchDelay{1000};
constexpr std::chrono::milliseconds kInitialAckTimeout{1000};
constexpr std::chrono::milliseconds kMaxAckTimeout{std::chrono::minutes{1}};

std::size_t BytesOf(std::size_t added, std::size_t ended) {
  return kMessageBytes + added * kAddedBytes + ended * kEndedBytes;
}

bool IsEmpty(const OutgoingSet& set) {
  return set.added.empty() && set.ended.empty();
}

bool IsFinished(const OutgoingSet& set) {
  return set.last_sequence && set.acknowledged > *set.last_sequence;
}

void RequestFullSet(OutgoingSet& set) {
  set.gather_mode = GatherMode::kFull;
  set.sending_full_set = false;
  set.added.clear();
  set.ended.clear();
  set.last_sequence.reset();
}

template <typename T>
std::vector<T> TakeFront(std::deque<T>& queue, std::size_t max_count) {
  const auto end = queue.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(max_count, queue.size()));
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
  // A receiver that was the owner in between has made records of what it got,
  // and counts only what a hand-over names as handed over.
  const bool continues = found != this->sets.end() &&
                         found->second.purpose == purpose &&
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
  if (purpose == CopyPurpose::kHandOver &&
      set.gather_mode == GatherMode::kNone) {
    set.gather_mode = GatherMode::kIncremental;
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

std::map<PartitionKey, GatherMode> CopySender::PartitionsToGather() const {
  std::map<PartitionKey, GatherMode> wanted;
  for (const auto& [partition, set] : this->sets) {
    if (set.gather_mode != GatherMode::kNone) {
      wanted[partition] = set.gather_mode;
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
  if (set.gather_mode == GatherMode::kFull) {
    set.generation = ++this->last_generation;
    set.next_sequence = 0;
    set.acknowledged = 0;
    set.sending_full_set = true;
    set.added.clear();
    set.ended.clear();
  }
  set.gather_mode = GatherMode::kNone;
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
  // An addition that is still queued must not be sent after the flow's end.
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
      set.gather_mode == GatherMode::kFull) {
    return false;
  }
  if (ack.resend_whole) {
    RequestFullSet(set);
    return false;
  }
  set.acknowledged = std::max(set.acknowledged, ack.sequence + 1);
  set.sent_at = now;
  set.ack_timeout = kInitialAckTimeout;
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
    this->SendDueMessages(next->first, next->second, now, outbox);
    this->resume_after = next->first;
    ++next;
  }
}

bool CopySender::IsDue(const OutgoingSet& set,
                       std::chrono::milliseconds now) const {
  if (set.gather_mode != GatherMode::kNone ||
      set.next_sequence >= set.acknowledged + kMaxUnacknowledged) {
    return false;
  }
  if (set.sending_full_set) {
    return true;
  }
  if (set.purpose == CopyPurpose::kHandOver) {
    return !IsEmpty(set) || !set.last_sequence;
  }
  return !IsEmpty(set) && (set.added.size() >= kMaxFlowsPerMessage / 2 ||
                           now - set.queued_at >= kBatchDelay);
}

void CopySender::SendDueMessages(const PartitionKey& partition,
                                 OutgoingSet& set,
                                 std::chrono::milliseconds now,
                                 Outbox& outbox) {
  common::TokenBucket& budget = set.purpose == CopyPurpose::kHandOver
                                    ? this->hand_over_budget
                                    : this->copy_budget;
  while (this->IsDue(set, now)) {
    const std::size_t bytes =
        BytesOf(std::min(kMaxFlowsPerMessage, set.added.size()),
                std::min(kMaxFlowsPerMessage, set.ended.size()));
    if (!budget.Take(bytes, now)) {
      return;
    }
    if (set.acknowledged == set.next_sequence) {
      set.sent_at = now;  // Nothing was in flight: the timeout starts here.
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
  copy.added = TakeFront(set.added, kMaxFlowsPerMessage);
  copy.ended = TakeFront(set.ended, kMaxFlowsPerMessage);
  // The first message of a generation always has `whole` set. That
  // distinguishes it from a later one whose predecessors were lost.
  copy.whole = set.sending_full_set && (copy.sequence == 0 || !IsEmpty(set));
  set.sending_full_set = copy.whole;
  copy.last =
      set.purpose == CopyPurpose::kHandOver && !copy.whole && IsEmpty(set);
  if (copy.last) {
    set.last_sequence = copy.sequence;
  }
  return copy;
}

void CopySender::RestartIfOverdue(OutgoingSet& set,
                                  std::chrono::milliseconds now) {
  const bool awaits_ack = set.gather_mode == GatherMode::kNone &&
                          set.next_sequence > set.acknowledged;
  set.ack_timeout = std::max(set.ack_timeout, kInitialAckTimeout);
  if (!awaits_ack || now - set.sent_at < set.ack_timeout) {
    return;
  }
  RequestFullSet(set);
  set.sent_at = now;
  set.ack_timeout = std::min(kMaxAckTimeout, 2 * set.ack_timeout);
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

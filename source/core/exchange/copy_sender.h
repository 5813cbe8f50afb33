/// The exceptions that this instance copies to others.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/token_bucket.h"
#include "core/balancer.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Who receives a partition's copies; a later life of it knows nothing.
struct CopyDestination {
  common::InstanceId to;
  common::Incarnation incarnation;

  friend bool operator==(const CopyDestination&,
                         const CopyDestination&) = default;
};

/// Why a partition is copied.
enum class CopyPurpose {
  kStandby,   ///< So that the standby can inherit.
  kHandOver,  ///< So that the new owner knows what this instance knew.
};

/// Which flows a partition's sender needs now.
enum class Gathering {
  kNone,
  kRest,   ///< Those not yet copied: the receiver has the others.
  kWhole,  ///< All.
};

/// The copies of one partition on their way.
struct OutgoingSet {
  CopyDestination destination;
  CopyPurpose purpose{CopyPurpose::kStandby};
  common::TargetId fallback;
  Gathering gathering{Gathering::kWhole};
  std::uint64_t generation{0};
  std::uint64_t next_sequence{0};
  /// Copies that the receiver has confirmed, from the first.
  std::uint64_t acknowledged{0};
  /// Nothing more will be learned: a hand-over may end.
  bool complete{true};
  /// Since when this instance knew of every SYN; told with the end of a
  /// hand-over.
  std::optional<std::chrono::milliseconds> openings_known_since;
  /// Messages of a whole set are still to be sent.
  bool in_whole{false};
  std::deque<FlowException> added;
  std::deque<common::Fingerprint> ended;
  std::chrono::milliseconds queued_at{0};
  std::chrono::milliseconds sent_at{0};
  /// Grows with each whole set that found no answer.
  std::chrono::milliseconds patience{0};
  /// The sequence number that ended the hand-over; nothing until it is sent.
  std::optional<std::uint64_t> last_sequence;
};

/// Sends copies in batches within a byte budget, and again as a whole when one
/// is lost.
class CopySender {
 public:
  explicit CopySender(common::Incarnation incarnation)
      : incarnation(incarnation) {}

  void SetLimits(common::BucketLimits copies, common::BucketLimits hand_overs);

  /// Sends `partition` to `destination` from now on. What the same destination
  /// already has isn't sent again, unless the fallback differs.
  void Start(const PartitionKey& partition, const CopyDestination& destination,
             CopyPurpose purpose, common::TargetId fallback);

  /// Says whether this instance has learned everything that it may hand over;
  /// the end of a hand-over waits for that.
  void SetComplete(const PartitionKey& partition, bool complete);

  /// Since when this instance knew of every SYN of the partition, to be told
  /// with the end of the hand-over; nothing when it can't vouch for that.
  void SetOpeningsKnown(const PartitionKey& partition,
                        std::optional<std::chrono::milliseconds> since);

  void Stop(const PartitionKey& partition) { this->sets.erase(partition); }

  /// Null when the partition isn't being copied.
  const OutgoingSet* Find(const PartitionKey& partition) const;

  /// The partitions whose flows must be gathered, and how.
  std::map<PartitionKey, Gathering> Wanted() const;

  /// Takes the flows of a partition that `Wanted` named.
  void Load(const PartitionKey& partition, std::vector<FlowException> flows,
            std::chrono::milliseconds now);

  /// Takes one new exception, or the end of one that was copied.
  void Add(const PartitionKey& partition, const FlowException& exception,
           std::chrono::milliseconds now);
  void End(const PartitionKey& partition, common::Fingerprint flow,
           std::chrono::milliseconds now);

  /// Takes an acknowledgement. Returns true when it ends a hand-over.
  bool OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
             std::chrono::milliseconds now);

  /// Sends what is due and what the budget allows, and gives up waiting for
  /// answers that are overdue.
  void Flush(std::chrono::milliseconds now, Outbox& outbox);

  /// Flows that wait to be sent or acknowledged.
  std::size_t Waiting() const;

  /// Whether a hand-over is under way.
  bool IsHandingOver() const;

  /// How much of the copy budget is left, from 0 to 1.
  double BudgetLeft(std::chrono::milliseconds now) {
    return this->copy_budget.Fill(now);
  }

 private:
  bool IsDue(const OutgoingSet& set, std::chrono::milliseconds now) const;
  void SendSome(const PartitionKey& partition, OutgoingSet& set,
                std::chrono::milliseconds now, Outbox& outbox);
  ExceptionCopy NextMessage(const PartitionKey& partition, OutgoingSet& set);
  void RestartIfOverdue(OutgoingSet& set, std::chrono::milliseconds now);

  common::Incarnation incarnation;
  std::map<PartitionKey, OutgoingSet> sets;
  common::TokenBucket copy_budget{common::BucketLimits{}};
  common::TokenBucket hand_over_budget{common::BucketLimits{}};
  /// Never falls while the process lives.
  std::uint64_t generations{0};
  /// Where the last flush ended, so that the budget goes round.
  PartitionKey resume_after;
};

}  // namespace sassafrasdyke::core

/// Sends copies of exceptions, the flows that aren't at their partition's
/// fallback target, to other instances.
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

/// The receiver of a partition's copies. After a restart, under a later
/// incarnation, it holds none of them.
struct CopyDestination {
  common::InstanceId to;
  common::Incarnation incarnation;

  friend bool operator==(const CopyDestination&,
                         const CopyDestination&) = default;
};

/// Why a partition is copied.
enum class CopyPurpose {
  kStandby,   ///< For the standby, which takes over if this owner fails.
  kHandOver,  ///< For the new owner, after this instance lost ownership.
};

/// Which flows must be gathered for a partition.
enum class GatherMode {
  kNone,
  kIncremental,  ///< Those not copied yet; the receiver has the others.
  kFull,         ///< All.
};

/// The state of one partition's transfer to its receiver.
struct OutgoingSet {
  CopyDestination destination;
  CopyPurpose purpose{CopyPurpose::kStandby};
  common::TargetId fallback;
  GatherMode gather_mode{GatherMode::kFull};
  std::uint64_t generation{0};
  std::uint64_t next_sequence{0};
  /// Number of messages acknowledged, counted from the first: acknowledgements
  /// are cumulative.
  std::uint64_t acknowledged{0};
  /// Since when this instance has tracked every SYN of the partition; sent with
  /// the end of a hand-over.
  std::optional<std::chrono::milliseconds> openings_known_since;
  /// A full set is being sent and isn't finished.
  bool sending_full_set{false};
  std::deque<FlowException> added;
  std::deque<common::Fingerprint> ended;
  std::chrono::milliseconds queued_at{0};
  std::chrono::milliseconds sent_at{0};
  /// How long to wait for an acknowledgement; doubles after each full set that
  /// timed out.
  std::chrono::milliseconds ack_timeout{0};
  /// Sequence number of the message that ends the hand-over; empty until it is
  /// sent.
  std::optional<std::uint64_t> last_sequence;
};

/// Sends copies in batches within a byte budget, and the full set again when a
/// message is lost.
class CopySender {
 public:
  explicit CopySender(common::Incarnation incarnation)
      : incarnation(incarnation) {}

  void SetLimits(common::BucketLimits copies, common::BucketLimits hand_overs);

  /// Starts copying `partition` to `destination`. Flows that the same
  /// destination already has aren't sent again, unless the fallback differs.
  void Start(const PartitionKey& partition, const CopyDestination& destination,
             CopyPurpose purpose, common::TargetId fallback);

  /// Sets since when this instance has tracked every SYN of the partition, to
  /// be sent with the end of the hand-over; empty if it can't guarantee that.
  void SetOpeningsKnown(const PartitionKey& partition,
                        std::optional<std::chrono::milliseconds> since);

  void Stop(const PartitionKey& partition) { this->sets.erase(partition); }

  /// Null when the partition isn't being copied.
  const OutgoingSet* Find(const PartitionKey& partition) const;

  /// The partitions whose flows must be gathered, with the mode of each.
  std::map<PartitionKey, GatherMode> PartitionsToGather() const;

  /// Queues the gathered flows of a partition that `PartitionsToGather`
  /// returned.
  void Load(const PartitionKey& partition, std::vector<FlowException> flows,
            std::chrono::milliseconds now);

  /// Queues one new exception, or the end of one that was copied.
  void Add(const PartitionKey& partition, const FlowException& exception,
           std::chrono::milliseconds now);
  void End(const PartitionKey& partition, common::Fingerprint flow,
           std::chrono::milliseconds now);

  /// Handles an acknowledgement. Returns true when it completes a hand-over.
  bool OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
             std::chrono::milliseconds now);

  /// Sends the messages that are due, as far as the budget allows, and starts a
  /// full set again where an acknowledgement is overdue.
  void Flush(std::chrono::milliseconds now, Outbox& outbox);

  /// Flows waiting to be sent plus messages waiting for an acknowledgement.
  std::size_t Waiting() const;

  /// Whether a hand-over is under way.
  bool IsHandingOver() const;

  /// The fraction of the copy budget that is left, from 0 to 1.
  double BudgetLeft(std::chrono::milliseconds now) {
    return this->copy_budget.Fill(now);
  }

 private:
  bool IsDue(const OutgoingSet& set, std::chrono::milliseconds now) const;
  void SendDueMessages(const PartitionKey& partition, OutgoingSet& set,
                       std::chrono::milliseconds now, Outbox& outbox);
  ExceptionCopy NextMessage(const PartitionKey& partition, OutgoingSet& set);
  void RestartIfOverdue(OutgoingSet& set, std::chrono::milliseconds now);

  common::Incarnation incarnation;
  std::map<PartitionKey, OutgoingSet> sets;
  common::TokenBucket copy_budget{common::BucketLimits{}};
  common::TokenBucket hand_over_budget{common::BucketLimits{}};
  /// The last generation used; never decreases while the process runs.
  std::uint64_t last_generation{0};
  /// Where the last flush ended: partitions share the budget round-robin.
  PartitionKey resume_after;
};

}  // namespace sassafrasdyke::core

/// Stores the exceptions that other instances have copied to this one.
#pragma once

#include <tsl/robin_map.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/flow/flow_table.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Target of each copied flow.
using CopiedFlows =
    tsl::robin_map<common::Fingerprint, common::TargetId, FingerprintHash>;

/// The flows of one partition that one sender has copied.
struct CopySet {
  common::InstanceId from;
  common::Incarnation incarnation;
  std::uint64_t generation{0};
  std::uint64_t next_sequence{0};
  /// Target of the flows that the set doesn't name; 0 if the sender doesn't
  /// know it.
  common::TargetId fallback;
  /// A full set has arrived at least once.
  bool complete{false};
  /// The last message ended a hand-over: the sender has no more flows to send.
  bool handed_over{false};
  CopiedFlows flows;
  /// A new full set is arriving. Until it is complete, the old fallback stays
  /// in use and lookups consult both sets: with the new fallback and half a
  /// set, flows that haven't arrived yet would go to the wrong target.
  bool arriving{false};
  common::TargetId arriving_fallback;
  CopiedFlows arriving_flows;
  std::chrono::milliseconds updated_at{0};
};

/// The result of applying a message.
struct CopyOutcome {
  std::optional<ExceptionCopyAck> ack;
  /// The message ended a hand-over: the sender has no more flows to send.
  bool handed_over{false};
};

/// The copied sets of all partitions and senders.
class CopyStore {
 public:
  /// Applies a message if it is the next in sequence; after a gap, asks the
  /// sender for the full set.
  CopyOutcome Apply(common::InstanceId from, const ExceptionCopy& copy,
                    std::chrono::milliseconds now);

  /// The target that any sender's set names for the flow.
  std::optional<common::TargetId> Find(const PartitionKey& partition,
                                       common::Fingerprint flow) const;

  /// The sets of a partition, one for each sender.
  const std::vector<CopySet>& SetsOf(const PartitionKey& partition) const;

  /// The set of one sender; null when there is none.
  const CopySet* SetFrom(const PartitionKey& partition,
                         common::InstanceId from) const;

  /// Removes a flow that has ended or is superseded by newer information.
  void EraseFlow(const PartitionKey& partition, common::Fingerprint flow);

  /// Removes the flows that `from` has copied of a partition.
  void EraseFlows(const PartitionKey& partition, common::InstanceId from);

  /// Removes the set of `from`, which has to send all of it again.
  void EraseSet(const PartitionKey& partition, common::InstanceId from);

  /// Clears `handed_over` in all sets of a partition: their senders may have
  /// learned of more flows since.
  void ClearHandedOver(const PartitionKey& partition);

  /// Removes every flow and fallback at a target that no longer exists.
  void EraseTarget(common::TargetId target);

  /// Removes the sets for which `keep` returns false.
  void EraseUnless(
      const std::function<bool(const PartitionKey&, const CopySet&)>& keep);

  /// Number of flows in all sets.
  std::size_t Size() const;

 private:
  CopySet& FindOrAdd(const PartitionKey& partition, common::InstanceId from,
                     common::Incarnation incarnation);

  std::map<PartitionKey, std::vector<CopySet>> partitions;
};

/// The flows of the current and the arriving set; the arriving one wins.
CopiedFlows AllFlows(const CopySet& set);

}  // namespace sassafrasdyke::core

/// The exceptions that other instances have copied to this one.
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

/// Targets by flow.
using CopiedFlows =
    tsl::robin_map<common::Fingerprint, common::TargetId, FingerprintHash>;

/// What one sender has copied of one partition.
struct CopySet {
  common::InstanceId from;
  common::Incarnation incarnation;
  std::uint64_t generation{0};
  std::uint64_t next_sequence{0};
  /// Where flows that the set doesn't name are; 0 when the sender doesn't know.
  common::TargetId fallback;
  /// A whole set has arrived at least once.
  bool complete{false};
  /// The last message ended a hand-over: the sender knows nothing more.
  bool handed_over{false};
  CopiedFlows flows;
  /// A new whole set is arriving; until its end the old fallback counts, and
  /// both name flows. Mixing the new fallback with half a set would send the
  /// flows not yet named to the wrong target.
  bool arriving{false};
  common::TargetId arriving_fallback;
  CopiedFlows arriving_flows;
  std::chrono::milliseconds updated_at{0};
};

/// What a copy did to the store.
struct CopyOutcome {
  std::optional<ExceptionCopyAck> ack;
  /// The message ended a hand-over: the sender knows nothing more.
  bool handed_over{false};
};

/// All copy sets, by partition.
class CopyStore {
 public:
  /// Applies one copy in order, or asks for the whole.
  CopyOutcome Apply(common::InstanceId from, const ExceptionCopy& copy,
                    std::chrono::milliseconds now);

  /// The target that any sender's set names for the flow.
  std::optional<common::TargetId> Find(const PartitionKey& partition,
                                       common::Fingerprint flow) const;

  /// The sets held of a partition.
  const std::vector<CopySet>& SetsOf(const PartitionKey& partition) const;

  /// The set of one sender; null when there is none.
  const CopySet* SetFrom(const PartitionKey& partition,
                         common::InstanceId from) const;

  /// Forgets one flow; it has ended, or a newer word about it is known.
  void EraseFlow(const PartitionKey& partition, common::Fingerprint flow);

  /// Forgets the flows that a sender has copied of a partition.
  void EraseFlows(const PartitionKey& partition, common::InstanceId from);

  /// The hand-overs of a partition that were received are history: their
  /// senders may come to know more than they told.
  void ForgetHandOvers(const PartitionKey& partition);

  /// Forgets every flow at a target that is no more.
  void EraseTarget(common::TargetId target);

  /// Forgets the sets that `keep` refuses.
  void EraseUnless(
      const std::function<bool(const PartitionKey&, const CopySet&)>& keep);

  /// Flows held, of all sets.
  std::size_t Size() const;

 private:
  CopySet& SetOf(const PartitionKey& partition, common::InstanceId from,
                 common::Incarnation incarnation);

  std::map<PartitionKey, std::vector<CopySet>> partitions;
};

/// The union of what a set names, old and arriving.
CopiedFlows AllFlows(const CopySet& set);

}  // namespace sassafrasdyke::core

/// Flows from a hand-over whose targets aren't in this instance's configuration
/// yet.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/exchange/copy_store.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Keeps such flows until a configuration contains their targets. They are kept
/// apart from the sender's copy set: once the hand-over is acknowledged, the
/// sender drops them, and its next set would remove them here. Times are
/// monotonic.
class UnresolvedFlows {
 public:
  void Add(const PartitionKey& partition, const FlowException& exception,
           std::chrono::milliseconds now);

  std::optional<common::TargetId> Find(const PartitionKey& partition,
                                       common::Fingerprint flow) const;

  /// All flows of a partition.
  std::vector<FlowException> Of(const PartitionKey& partition) const;

  /// Removes and returns the flows of a partition whose targets `is_known`
  /// accepts.
  std::vector<FlowException> TakeKnown(
      const PartitionKey& partition,
      const std::function<bool(common::TargetId)>& is_known);

  void Erase(const PartitionKey& partition, common::Fingerprint flow);
  void ErasePartition(const PartitionKey& partition);
  /// Removes every flow at a target that no longer exists.
  void EraseTarget(common::TargetId target);
  /// Removes flows that were added before `since`.
  void EraseOlder(std::chrono::milliseconds since);

  std::size_t Size() const;

 private:
  struct Entry {
    common::TargetId target;
    std::chrono::milliseconds added_at{0};
  };
  using Entries = std::map<common::Fingerprint, Entry>;

  void EraseIf(const std::function<bool(const Entry&)>& ends);

  std::map<PartitionKey, Entries> partitions;
};

}  // namespace sassafrasdyke::core

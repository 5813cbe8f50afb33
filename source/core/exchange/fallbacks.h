/// The fallback target of each partition: where flows without a record are
/// presumed to be.
#pragma once

#include <chrono>

#include "common/ids.h"
#include "core/exchange/copy_store.h"
#include "core/flow/local_state.h"

namespace sassafrasdyke::core {

/// Maintains the fallback of each partition. Owner and standby must agree on
/// it, so it stays when targets change, and moves only when no flow that relies
/// on it can lose its target.
class Fallbacks {
 public:
  /// Both arguments must outlive it.
  Fallbacks(LocalState& local, const CopyStore& store);

  /// Adopts the fallback of an earlier owner. A target that the configuration
  /// doesn't contain yet is kept as unresolved until one does.
  void Adopt(PartitionIndex partition, common::TargetId fallback);

  /// The fallback to announce to other instances; 0 while it is provisional.
  common::TargetId AnnouncedId(PartitionIndex partition) const;

  /// The fallback from this instance's own state or from the copies that the
  /// owner sent; `kNoSlot` if neither has one.
  TargetSlot Of(PartitionIndex partition) const;

  /// Whether the flow is at the fallback, so that it needs no copy.
  bool IsAtFallback(const FlowRecord& record, PartitionIndex partition) const;

  /// Re-evaluates the partition after a change of the targets. Returns whether
  /// the fallback was replaced because its target is gone.
  bool Refresh(PartitionIndex partition);

  /// Moves the fallback to the target with the most known flows, if that saves
  /// many copies. Returns whether it moved.
  bool MoveToLargest(PartitionIndex partition, std::chrono::milliseconds now);

 private:
  LocalState& local;
  const CopyStore& store;
};

}  // namespace sassafrasdyke::core

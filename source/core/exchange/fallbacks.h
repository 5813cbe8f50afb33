/// Where flows without a record are presumed to be.
#pragma once

#include <chrono>

#include "common/ids.h"
#include "core/exchange/copy_store.h"
#include "core/flow/flow_world.h"

namespace sassafrasdyke::core {

/// Keeps the fallback of each partition: a contract between owner and standby
/// that outlives changes of the targets, and moves only when no flow that
/// relies on it can be left behind.
class Fallbacks {
 public:
  /// Both must outlive it.
  Fallbacks(FlowWorld& world, const CopyStore& store);

  /// Takes the word of an instance that decided before. A target that isn't
  /// known yet is remembered until a configuration names it.
  void Adopt(PartitionIndex partition, common::TargetId fallback);

  /// The fallback that others may be told; 0 while it is only a guess.
  common::TargetId IdOf(PartitionIndex partition) const;

  /// The fallback by this instance's own knowledge or by its copies of the
  /// owner's; `kNoSlot` when it knows none.
  TargetSlot Of(PartitionIndex partition) const;

  /// Whether the flow is found by the fallback, without being named.
  bool Finds(const FlowRecord& record, PartitionIndex partition) const;

  /// Looks at the partition again after a change of the targets. Returns
  /// whether another target became the fallback since the last is gone.
  bool Refresh(PartitionIndex partition);

  /// Moves the fallback to the target that has most of the known flows, when
  /// naming the rest costs far less. Returns whether it moved.
  bool Flip(PartitionIndex partition, std::chrono::milliseconds now);

 private:
  FlowWorld& world;
  const CopyStore& store;
};

}  // namespace sassafrasdyke::core

/// Collects the flows that are copied to a standby or handed over to a new
/// owner.
#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "core/exchange/copy_sender.h"
#include "core/exchange/copy_store.h"
#include "core/exchange/unresolved_flows.h"
#include "core/flow/local_state.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Whether `set` was copied by the destination itself in its current
/// incarnation, so that the destination knows its flows already.
bool IsOwnCopy(const CopyDestination& destination, const CopySet& set);

/// Selects the flows for all partitions that need them in one pass over the
/// flow table.
class CopyGatherer {
 public:
  /// All arguments must outlive the gatherer.
  CopyGatherer(LocalState& local, const CopyStore& store,
               const UnresolvedFlows& unresolved, CopySender& sender);

  /// Loads the sender with the flows of each partition for which it has to
  /// gather them.
  void Gather(std::chrono::milliseconds now);

 private:
  /// What to gather for one partition.
  struct GatherRequest {
    GatherMode gather_mode{GatherMode::kNone};
    bool hand_over{false};
    TargetSlot fallback{kNoSlot};
    std::vector<FlowException> flows;
  };

  std::vector<GatherRequest> MakeRequests(
      const std::map<PartitionKey, GatherMode>& wanted) const;
  void CollectRecord(common::Fingerprint flow, FlowRecord& record,
                     std::vector<GatherRequest>& requests) const;
  std::vector<FlowException> CopiesToReturn(PartitionIndex partition,
                                            const OutgoingSet& outgoing) const;

  LocalState& local;
  const CopyStore& store;
  const UnresolvedFlows& unresolved;
  CopySender& sender;
};

}  // namespace sassafrasdyke::core

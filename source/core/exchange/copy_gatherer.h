/// Collects what a standby or an heir must be told.
#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "core/exchange/copy_sender.h"
#include "core/exchange/copy_store.h"
#include "core/exchange/unresolved_flows.h"
#include "core/flow/flow_world.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Whether `set` came from the destination itself, in this life of it.
bool KnowsItself(const CopyDestination& destination, const CopySet& set);

/// Walks the records once for all partitions whose copies start anew.
class CopyGatherer {
 public:
  /// All must outlive it.
  CopyGatherer(FlowWorld& world, const CopyStore& store,
               const UnresolvedFlows& unresolved, CopySender& sender);

  /// Loads the sender with the flows of each partition that it asks for.
  void Gather(std::chrono::milliseconds now);

 private:
  /// What one partition's copies need.
  struct Order {
    Gathering gathering{Gathering::kNone};
    bool hand_over{false};
    TargetSlot fallback{kNoSlot};
    std::vector<FlowException> flows;
  };

  std::vector<Order> TakeOrders(
      const std::map<PartitionKey, Gathering>& wanted) const;
  void Collect(common::Fingerprint flow, FlowRecord& record,
               std::vector<Order>& orders) const;
  std::vector<FlowException> CopiesToReturn(PartitionIndex partition,
                                            const OutgoingSet& outgoing) const;

  FlowWorld& world;
  const CopyStore& store;
  const UnresolvedFlows& unresolved;
  CopySender& sender;
};

}  // namespace sassafrasdyke::core

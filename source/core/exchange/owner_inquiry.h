/// Whom to ask about a flow while owners change.
#pragma once

#include <chrono>
#include <optional>

#include "common/ids.h"
#include "core/flow/flow_world.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// A new owner doesn't know the flows of the one before it, and while views
/// differ two instances may take themselves for the owner. A question goes from
/// instance to instance, along the owners that each has seen lately, until one
/// knows the flow; else the packet returns to its asker, which decides.
class OwnerInquiry {
 public:
  /// `world` must outlive it.
  OwnerInquiry(common::InstanceId self, FlowWorld& world)
      : self(self), world(world) {}

  /// The owner before this one, while it may still have something to tell.
  std::optional<common::InstanceId> Previous(
      PartitionIndex partition, std::chrono::milliseconds now) const;

  /// Whom to ask next about the packet: the owner before, the present one in
  /// this instance's view, a former one, or the standby of an owner that has
  /// just come. Nothing when all that may know have been asked.
  std::optional<common::InstanceId> Next(PartitionIndex partition,
                                         const Arrival& arrival,
                                         std::chrono::milliseconds now) const;

  /// `asker` takes itself for the owner, whatever this instance's view says: it
  /// may place flows that this instance will meet.
  void OnAsked(PartitionIndex partition, common::InstanceId asker,
               std::chrono::milliseconds now);

  /// `former` owns no longer in this instance's view.
  void OnFormer(PartitionIndex partition, common::InstanceId former,
                std::chrono::milliseconds now) {
    this->Remember(partition, former, now);
  }

 private:
  /// Notes that `owner` may decide for a lease's time.
  void Remember(PartitionIndex partition, common::InstanceId owner,
                std::chrono::milliseconds now);

  common::InstanceId self;
  FlowWorld& world;
};

}  // namespace sassafrasdyke::core

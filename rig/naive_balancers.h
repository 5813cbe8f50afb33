/// The balancer to compare with: each instance keeps its own table of flows and
/// places what it doesn't know by a hash over the published targets. Runs
/// inside the rig, on the same scenarios.
#pragma once

#include <map>
#include <optional>

#include "common/flow_key.h"
#include "common/ids.h"
#include "rig/segment.h"

namespace sassafrasdyke::rig {

/// All instances of it. Each learns of a change at once, which flatters it.
class NaiveBalancers {
 public:
  void SetTarget(common::TargetId target, const common::Endpoint& address,
                 bool serving);
  void RemoveTarget(common::TargetId target);
  /// A new process starts, with an empty table.
  void Launch(common::InstanceId instance) { this->instances[instance] = {}; }
  /// An instance that doesn't run drops what it gets.
  void SetRunning(common::InstanceId instance, bool running);

  /// Where `instance` sends the segment; nothing when it drops it.
  std::optional<common::TargetId> Choose(common::InstanceId instance,
                                         const Segment& segment);

 private:
  struct Target {
    common::Endpoint address;
    bool serving{true};
  };
  struct Instance {
    bool running{true};
    std::map<common::FlowKey, common::TargetId> table;
  };

  std::optional<common::TargetId> ByHash(const common::FlowKey& flow) const;

  std::map<common::TargetId, Target> targets;
  std::map<common::InstanceId, Instance> instances;
};

}  // namespace sassafrasdyke::rig

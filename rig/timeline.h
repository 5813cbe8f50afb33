/// Plays a scenario's steps on the stand-ins.
#pragma once

#include "rig/deployment.h"
#include "rig/fabric.h"
#include "rig/instances.h"
#include "rig/judge.h"
#include "rig/platform.h"
#include "rig/scenario.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {

/// What the steps act on; all of it outlives the timeline.
struct Stage {
  Deployment& deployment;
  Instances& instances;
  Platform& platform;
  Fabric& fabric;
  Judge& judge;
};

/// Plays steps.
class Timeline {
 public:
  explicit Timeline(const Stage& stage) : stage(stage) {}

  void Play(const ScenarioStep& step);

 private:
  void PlayTarget(const ScenarioStep& step, StandInTarget& target);
  void PlayInstance(const ScenarioStep& step);
  void PlayPlatform(const ScenarioStep& step, PlatformMode mode);

  Stage stage;
};

}  // namespace sassafrasdyke::rig

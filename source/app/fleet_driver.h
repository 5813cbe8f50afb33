/// Drives the fleet side of the core and passes on what each call leaves.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "app/clock.h"
#include "app/pause_detector.h"
#include "app/task_messages.h"
#include "core/fleet/fleet.h"
#include "observe/decision_log.h"
#include "observe/state_board.h"

namespace sassafrasdyke::app {

/// Where the fleet's results go. Every call runs on the control task's thread.
struct FleetSinks {
  std::function<void(DataMessage)> to_data;
  std::function<void(core::OutgoingMessage)> to_peer;
  /// The configuration in force or the belief changed.
  std::function<void()> on_change;
};

/// The control task's hold on the fleet.
class FleetDriver {
 public:
  /// `clock` and `log` must outlive it.
  FleetDriver(std::unique_ptr<core::Fleet> fleet, const Clock& clock,
              observe::DecisionLog& log, FleetSinks sinks);

  void OnPlatformDocument(const core::Document& document);
  /// The platform's text could not even be split.
  void OnPlatformRefused(core::DocumentKind kind,
                         const core::DocumentFaults& faults);
  void OnPlatformAnswer(bool reached);
  void OnPeerMessage(common::InstanceId from, const core::PeerMessage& message);
  void OnTargetProbed(common::TargetId target, core::TargetHealth health);
  void OnTick();
  void OnLeave();
  /// The data task has noticed a pause, which this task may not have.
  void OnPauseNoticed();

  const core::Fleet& Core() const { return *this->fleet; }
  const core::FleetView& View() const { return this->state.view; }
  /// Null before the first one.
  const std::shared_ptr<const core::Configuration>& InForce() const {
    return this->state.configuration;
  }
  /// What the control task has to show; a copy.
  observe::ControlState State() const;

 private:
  /// The time for the next call. After a pause the fleet ticks first.
  std::chrono::milliseconds Wake();
  void Flush();
  void Keep(const core::FleetDecision& decision);
  void Keep(const core::TargetHealthChange& change);

  std::unique_ptr<core::Fleet> fleet;
  const Clock& clock;
  observe::DecisionLog& log;
  FleetSinks sinks;
  PauseDetector pause{kLongestGap};
  core::FleetOutbox outbox;
  observe::ControlState state;
};

}  // namespace sassafrasdyke::app

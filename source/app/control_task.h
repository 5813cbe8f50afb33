/// The task that owns the fleet's state: the platform's reader, the peers, the
/// signals. Runs on the process's first thread.
#pragma once

#include <ev++.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "app/clock.h"
#include "app/fleet_driver.h"
#include "app/leave_watch.h"
#include "app/mailbox.h"
#include "app/task_messages.h"
#include "clients/platform_reader.h"
#include "clients/target_prober.h"
#include "config/configuration_reader.h"
#include "config/settings.h"
#include "core/fleet/fleet.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "observe/state_board.h"
#include "peer/peer_links.h"

namespace sassafrasdyke::app {

/// Keeps the fleet's state and tells the data task what to believe.
class ControlTask final : private clients::PlatformListener,
                          private clients::ProbeListener,
                          private peer::PeerListener {
 public:
  /// What the task works with; all must outlive it.
  struct Parts {
    const config::Settings& settings;
    core::SelfIdentity self;
    const Clock& clock;
    observe::DecisionLog& log;
    observe::Metrics& metrics;
    observe::StateBoard& board;
  };

  explicit ControlTask(const Parts& parts);
  ~ControlTask() override;

  /// The task's mailbox, for any task.
  Mailbox<ControlMessage>& Mail() { return this->mail; }

  /// Starts to listen for peers. The error is a sentence for a person.
  tl::expected<void, std::string> OpenPeers();

  /// Runs until the instance has left; peers must be open. Messages for the
  /// data task go to `data`.
  void Run(Mailbox<DataMessage>& data);

 private:
  void OnTimer(ev::timer&, int);
  void OnSignal(ev::sig& signal, int);

  void OnPlatformDocument(const core::Document& document) override;
  void OnPlatformRefused(core::DocumentKind kind,
                         const core::DocumentFaults& faults) override;
  void OnPlatformAnswer(core::DocumentKind kind, bool reached) override;

  void OnTargetProbed(common::TargetId target,
                      core::TargetHealth health) override;

  void OnPeerMessage(common::InstanceId from,
                     const core::PeerMessage& message) override;
  void OnPeerLink(common::InstanceId to, bool up) override;
  void OnPeerCut(common::InstanceId peer, const common::IpAddress& from,
                 peer::CutReason reason) override;

  void Take(ControlMessage message);
  void Apply(const PauseNoticed& noticed);
  void Apply(const core::OutgoingMessage& message);
  void Apply(const DataReport& newest);

  FleetSinks Sinks();
  void Leave();
  void EndIfLeft();
  /// Makes the platform's reader follow what the fleet wants.
  void SteerPlatform();
  /// Makes the streams follow the instance list in force.
  void SteerPeers();
  void OnChange();
  void Publish();
  void PublishPlatform(core::DocumentKind kind);
  void Note(observe::ProcessNote note);

  Parts parts;
  ev::dynamic_loop loop;
  config::ConfigurationReader documents;
  FleetDriver driver;
  clients::PlatformReader platform;
  clients::TargetProber prober;
  std::unique_ptr<peer::PeerLinks> peers;
  /// The list that the streams follow.
  common::Revision peers_follow;
  Mailbox<ControlMessage> mail;
  Mailbox<DataMessage>* data{nullptr};
  ev::timer timer;
  ev::sig terminate;
  ev::sig interrupt;
  LeaveWatch leave;
  DataReport report;
  int ticks{0};
  int cuts_noted{0};
};

}  // namespace sassafrasdyke::app

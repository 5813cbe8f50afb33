/// Trial connections: whether a target's machine takes a TCP connection at all.
/// Nothing is sent, so no slot of the target is taken.
///
/// Each trial runs beside one to a control, a target that is known to live. On
/// an own link that is full, connections take longer than any bound; without
/// the control every target would look silent, and the flows of all of them
/// would be reset. Only a target that stays silent while the control answers
/// quickly is silent.
#pragma once

#include <ev++.h>

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/address.h"
#include "core/steering/target_watch.h"
#include "http/stream_socket.h"

namespace sassafrasdyke::front {

/// How a trial ended.
struct ProbeResult {
  core::TargetIndex target;
  core::ProbeOutcome outcome{core::ProbeOutcome::kSilent};
  std::chrono::milliseconds started_at{0};
};

/// A trial to be made.
struct ProbeOrder {
  core::TargetIndex target;
  common::Endpoint address;
  /// Of a target that has lately shown life; nothing if there is none.
  std::optional<common::Endpoint> control;
};

/// Takes results.
class ProbeListener {
 public:
  virtual ~ProbeListener() = default;
  /// Called from the loop; may start the next trial.
  virtual void OnProbeEnded(const ProbeResult& result) = 0;
};

/// Runs trials, at most one to a target at a time.
class ConnectProber {
 public:
  /// `loop` and `listener` must outlive the prober.
  ConnectProber(ev::loop_ref loop, ProbeListener& listener)
      : loop(loop), listener(listener) {}
  ConnectProber(const ConnectProber&) = delete;
  ConnectProber& operator=(const ConnectProber&) = delete;

  /// Does nothing while a trial to the target runs, or too many run.
  void Start(const ProbeOrder& order, std::chrono::milliseconds now);

 private:
  /// One running trial.
  struct Trial {
    Trial(ConnectProber& prober, core::TargetIndex target,
          http::StreamSocket socket, std::chrono::milliseconds now);

    void StartControl(const common::Endpoint& address);
    void OnReady(ev::io& watcher, int events);
    void OnControlReady(ev::io& watcher, int events);
    void OnDeadline(ev::timer& watcher, int events);

    ConnectProber& prober;
    const core::TargetIndex target;
    const std::chrono::milliseconds started_at;
    const ev::tstamp loop_started_at;
    http::StreamSocket socket;
    http::StreamSocket control;
    ev::io ready;
    ev::io control_ready;
    ev::timer deadline;
    bool control_quick{false};  ///< The control has answered in good time.
  };

  void End(const Trial& trial, core::ProbeOutcome outcome);

  ev::loop_ref loop;
  ProbeListener& listener;
  std::unordered_map<core::TargetIndex, std::unique_ptr<Trial>> trials;
};

}  // namespace sassafrasdyke::front

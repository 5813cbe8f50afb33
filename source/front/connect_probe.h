/// Trial connections: whether a target's machine takes a TCP connection at all.
/// Nothing is sent, so no slot of the target is taken.
#pragma once

#include <ev++.h>

#include <chrono>
#include <memory>
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
  void Start(core::TargetIndex target, const common::Endpoint& address,
             std::chrono::milliseconds now);

 private:
  /// One running trial.
  struct Trial {
    Trial(ConnectProber& prober, core::TargetIndex target,
          http::StreamSocket socket, std::chrono::milliseconds now);

    void OnReady(ev::io& watcher, int events);
    void OnDeadline(ev::timer& watcher, int events);
    core::ProbeOutcome Judge() const;

    ConnectProber& prober;
    const core::TargetIndex target;
    const std::chrono::milliseconds started_at;
    http::StreamSocket socket;
    ev::io ready;
    ev::timer deadline;
  };

  void End(const Trial& trial, core::ProbeOutcome outcome);

  ev::loop_ref loop;
  ProbeListener& listener;
  std::unordered_map<core::TargetIndex, std::unique_ptr<Trial>> trials;
};

}  // namespace sassafrasdyke::front

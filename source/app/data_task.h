/// The task that owns the tunnel socket and the flows: its own thread and loop.
#pragma once

#include <ev++.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <thread>

#include "app/clock.h"
#include "app/mailbox.h"
#include "app/pause_detector.h"
#include "app/task_messages.h"
#include "core/balancer.h"
#include "datapath/packet_handler.h"
#include "datapath/tunnel_socket.h"
#include "observe/decision_log.h"

namespace sassafrasdyke::app {

/// Forwards packets until it is told to stop.
class DataTask {
 public:
  /// What the task is made of. `clock` and `log` must outlive it.
  struct Parts {
    common::InstanceId self;
    std::unique_ptr<datapath::TunnelSocket> socket;
    std::unique_ptr<core::Balancer> balancer;
    common::Endpoint fabric_return;
    const Clock& clock;
    observe::DecisionLog& log;
    /// Takes messages for the control task, on this task's thread.
    std::function<void(ControlMessage)> to_control;
  };

  /// Does nothing until `Start`.
  explicit DataTask(Parts parts);
  /// Stops the task if it still runs.
  ~DataTask();
  DataTask(const DataTask&) = delete;
  DataTask& operator=(const DataTask&) = delete;

  void Start();
  /// Ends the task and waits for it.
  void Stop();

  /// The task's mailbox, for any task.
  Mailbox<DataMessage>& Mail() { return this->mail; }

 private:
  void OnReadable(ev::io&, int);
  void OnTimer(ev::timer&, int);

  void Take(DataMessage message);
  void Apply(const ConfigurationInForce& message);
  void Apply(const core::FleetView& view);
  void Apply(const PeerWord& word);
  void Apply(const PauseChecked& checked);
  void Apply(const StopTask& stop);

  /// Notices a pause; from then on packets wait in the kernel's queue.
  void CheckPause(std::chrono::milliseconds now);
  void HandleBatch(std::span<const datapath::IncomingDatagram> batch,
                   std::chrono::milliseconds now);
  /// Passes on what the balancer left to be done.
  void Flush();
  void Report();

  Parts parts;
  ev::dynamic_loop loop;
  ev::io readable;
  ev::timer timer;
  Mailbox<DataMessage> mail;
  datapath::PacketHandler handler;
  core::Outbox outbox;
  std::shared_ptr<const core::Configuration> configuration;
  PauseDetector pause{kLongestGap};
  /// Packets are held: the belief may be from before a pause.
  bool holding{false};
  std::uint64_t pauses{0};
  std::chrono::milliseconds last_packet{0};
  std::thread thread;
};

}  // namespace sassafrasdyke::app

/// What the data task and the control task tell each other.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/configuration.h"
#include "core/fleet_view.h"
#include "core/messages.h"
#include "datapath/packet_handler.h"
#include "datapath/tunnel_socket.h"

namespace sassafrasdyke::app {

/// A newer configuration is in force.
struct ConfigurationInForce {
  std::shared_ptr<const core::Configuration> configuration;
};

/// A peer sent something for the flow side.
struct PeerWord {
  common::InstanceId from;
  core::PeerMessage message;
};

/// The belief that came before this message is of after the pause.
struct PauseChecked {};

/// End the task.
struct StopTask {};

/// To the data task.
using DataMessage = std::variant<ConfigurationInForce, core::FleetView,
                                 PeerWord, PauseChecked, StopTask>;

/// The data task found that the process stood still, and holds all packets
/// until it knows what to believe.
struct PauseNoticed {};

/// What the data task has done so far.
struct DataReport {
  core::BalancerStatus status;
  datapath::PacketCounters packets;
  datapath::SocketCounters socket;
  /// When a packet last came; 0 when never. Monotonic, since process start.
  std::chrono::milliseconds last_packet{0};
  std::chrono::milliseconds cpu{0};
  std::uint64_t pauses{0};
};

/// To the control task.
using ControlMessage =
    std::variant<PauseNoticed, core::OutgoingMessage, DataReport>;

}  // namespace sassafrasdyke::app

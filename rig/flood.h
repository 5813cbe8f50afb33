/// Sends packets of open flows to one instance as fast as one thread can, and
/// counts those that reach a target: packets a second through one process.
#pragma once

#include <ev++.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include "common/address.h"
#include "rig/socket.h"

namespace sassafrasdyke::rig {

/// What a flood moved, from its first packet to its last.
struct FloodCounts {
  std::uint64_t sent{0};       ///< Accepted by the kernel for the instance.
  std::uint64_t delivered{0};  ///< Arrived at targets.
  double seconds{0};           ///< Since all flows were open.
};

/// The sender and its targets.
class Flood {
 public:
  /// Prepares `flows` flows to `service`; sends from `source`.
  Flood(const common::Endpoint& source, const common::Endpoint& service,
        std::size_t flows);

  void AddTarget(const common::Endpoint& tunnel);
  /// Opens the flows, then sends data of all of them in turn, without pause.
  void Start(const common::Endpoint& instance);
  void Stop();
  FloodCounts Counts() const { return this->counts; }

 private:
  static constexpr std::size_t kBatch = 64;
  using Datagram = std::vector<std::uint8_t>;

  void OnIdle(ev::idle& watcher, int events);
  void SendBatch(std::vector<Datagram>& from);

  UdpSocket source;
  common::SocketAddress instance;
  std::list<UdpSocket> targets;
  std::vector<Datagram> opening;
  std::vector<Datagram> data;
  std::size_t opened{0};
  std::size_t next{0};
  FloodCounts counts;
  ev::tstamp next_opening{0};
  ev::tstamp began{0};
  ev::idle idle;
};

}  // namespace sassafrasdyke::rig

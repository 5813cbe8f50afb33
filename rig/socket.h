/// UDP sockets on libev.
#pragma once

#include <ev++.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

#include "common/address.h"
#include "common/socket_address.h"

namespace sassafrasdyke::rig {

/// One bound UDP socket that hands on what it receives.
class UdpSocket {
 public:
  using Receiver = std::function<void(std::span<const std::uint8_t> datagram,
                                      const common::Endpoint& from)>;

  /// Throws std::runtime_error when the address can't be bound.
  UdpSocket(const common::Endpoint& bind, Receiver receiver);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Sends, or counts what the kernel refuses.
  void Send(std::span<const std::uint8_t> datagram,
            const common::SocketAddress& to);
  /// Sends many at once; returns how many the kernel took.
  std::size_t SendAll(std::span<const std::span<const std::uint8_t>> datagrams,
                      const common::SocketAddress& to);
  std::uint64_t Refused() const { return this->refused; }

 private:
  void OnReadable(ev::io& watcher, int events);

  Receiver receiver;
  int descriptor{-1};
  std::uint64_t refused{0};
  ev::io readable;
};

}  // namespace sassafrasdyke::rig

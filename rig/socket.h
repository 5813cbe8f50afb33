/// UDP sockets on libev, and addresses in the socket calls' form.
#pragma once

#include <ev++.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

#include "common/address.h"

namespace sassafrasdyke::rig {

/// An address as the socket calls take it.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length{0};

  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&this->storage);
  }
};

SocketAddress ToSocketAddress(const common::Endpoint& endpoint);
common::Endpoint FromSocketAddress(const sockaddr_storage& storage);

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
  void Send(std::span<const std::uint8_t> datagram, const SocketAddress& to);
  /// Sends many at once; returns how many the kernel took.
  std::size_t SendAll(std::span<const std::span<const std::uint8_t>> datagrams,
                      const SocketAddress& to);
  std::uint64_t Refused() const { return this->refused; }

 private:
  void OnReadable(ev::io& watcher, int events);

  Receiver receiver;
  int descriptor{-1};
  std::uint64_t refused{0};
  ev::io readable;
};

}  // namespace sassafrasdyke::rig

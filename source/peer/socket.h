/// Owns TCP sockets that never block.
#pragma once

#include <optional>
#include <utility>

#include "common/address.h"

namespace sassafrasdyke::peer {

/// A socket, closed when it goes.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)) {}
  Socket& operator=(Socket&& other) noexcept;

  int Descriptor() const { return this->descriptor; }

  /// Listens at `endpoint`; nothing if the system refuses.
  static std::optional<Socket> Listen(const common::Endpoint& endpoint);
  /// Starts to connect from the address `from`, any port, to `to`; nothing if
  /// the system refuses at once.
  static std::optional<Socket> Connect(const common::IpAddress& from,
                                       const common::Endpoint& to);

 private:
  int descriptor{-1};
};

/// A connection that was accepted.
struct AcceptedSocket {
  Socket socket;
  common::IpAddress source;
};

/// Takes one waiting connection; nothing when none waits.
std::optional<AcceptedSocket> Accept(const Socket& listener);

/// Where a socket listens; tells the port that the system picked for port 0.
common::Endpoint LocalEndpoint(const Socket& socket);

}  // namespace sassafrasdyke::peer

/// Endpoints as the system calls take them.
#pragma once

#include <sys/socket.h>

#include <optional>

#include "common/address.h"

namespace sassafrasdyke::common {

/// A socket address and its length.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length{0};

  const sockaddr* Get() const;
};

/// The family a socket bound to `endpoint` needs.
int FamilyOf(const Endpoint& endpoint);

/// Writes `endpoint` for a socket of its own family.
SocketAddress ToSocketAddress(const Endpoint& endpoint);

/// Writes `endpoint` for a socket of `family`; nothing when an IPv4 socket
/// can't reach it. IPv6 sockets reach IPv4 by its mapped form.
std::optional<SocketAddress> ToSocketAddress(const Endpoint& endpoint,
                                             int family);

/// Reads an address that the kernel wrote.
Endpoint FromSocketAddress(const sockaddr_storage& storage);

}  // namespace sassafrasdyke::common

#include "peer/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "common/socket_address.h"

namespace sassafrasdyke::peer {
namespace {

void SetOption(const Socket& socket, int level, int option) {
  const int on = 1;
  setsockopt(socket.Descriptor(), level, option, &on, sizeof(on));
}

std::optional<Socket> Open(const common::Endpoint& endpoint) {
  const int family = common::FamilyOf(endpoint);
  const int descriptor =
      socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return std::nullopt;
  }
  return Socket(descriptor);
}

bool Bind(const Socket& socket, const common::Endpoint& endpoint) {
  const common::SocketAddress address = common::ToSocketAddress(endpoint);
  return bind(socket.Descriptor(), address.Get(), address.length) == 0;
}

}  // namespace

Socket::~Socket() {
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(this->descriptor, other.descriptor);
  return *this;
}

std::optional<Socket> Socket::Listen(const common::Endpoint& endpoint) {
  std::optional<Socket> opened = Open(endpoint);
  if (!opened) {
    return std::nullopt;
  }
  // A process that is replaced at its address would otherwise wait a minute
  // for the connections of the one before it.
  SetOption(*opened, SOL_SOCKET, SO_REUSEADDR);
  if (!Bind(*opened, endpoint) ||
      listen(opened->Descriptor(), SOMAXCONN) != 0) {
    return std::nullopt;
  }
  return opened;
}

std::optional<Socket> Socket::Connect(const common::IpAddress& from,
                                      const common::Endpoint& to) {
  std::optional<Socket> opened = Open(to);
  if (!opened) {
    return std::nullopt;
  }
  SetOption(*opened, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
  // Peers know an instance by its published address, so it must speak from it
  // also on a host with several.
  if (!Bind(*opened, {from, 0})) {
    return std::nullopt;
  }
  SetOption(*opened, IPPROTO_TCP, TCP_NODELAY);
  const common::SocketAddress address = common::ToSocketAddress(to);
  if (connect(opened->Descriptor(), address.Get(), address.length) != 0 &&
      errno != EINPROGRESS) {
    return std::nullopt;
  }
  return opened;
}

std::optional<AcceptedSocket> Accept(const Socket& listener) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  const int descriptor =
      accept4(listener.Descriptor(), reinterpret_cast<sockaddr*>(&storage),
              &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return std::nullopt;
  }
  AcceptedSocket accepted{Socket(descriptor),
                          common::FromSocketAddress(storage).address};
  SetOption(accepted.socket, IPPROTO_TCP, TCP_NODELAY);
  return accepted;
}

common::Endpoint LocalEndpoint(const Socket& socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(socket.Descriptor(), reinterpret_cast<sockaddr*>(&storage),
              &size);
  return common::FromSocketAddress(storage);
}

}  // namespace sassafrasdyke::peer

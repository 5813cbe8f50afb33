#include "peer/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace sassafrasdyke::peer {
namespace {

/// An endpoint as the system's calls take it.
struct SystemAddress {
  sockaddr_storage storage{};
  socklen_t size{0};

  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&this->storage);
  }
};

SystemAddress ToSystem(const common::Endpoint& endpoint) {
  SystemAddress address;
  if (endpoint.address.IsV4()) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    v4.sin_addr.s_addr = htonl(endpoint.address.V4());
    std::memcpy(&address.storage, &v4, sizeof(v4));
    address.size = sizeof(v4);
    return address;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(endpoint.port);
  const common::IpAddress::Bytes& bytes = endpoint.address.Raw();
  std::copy(bytes.begin(), bytes.end(), v6.sin6_addr.s6_addr);
  std::memcpy(&address.storage, &v6, sizeof(v6));
  address.size = sizeof(v6);
  return address;
}

common::Endpoint FromSystem(const sockaddr_storage& storage) {
  if (storage.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &storage, sizeof(v4));
    return {common::IpAddress::FromV4(ntohl(v4.sin_addr.s_addr)),
            ntohs(v4.sin_port)};
  }
  sockaddr_in6 v6{};
  std::memcpy(&v6, &storage, sizeof(v6));
  common::IpAddress::Bytes bytes{};
  std::copy(std::begin(v6.sin6_addr.s6_addr), std::end(v6.sin6_addr.s6_addr),
            bytes.begin());
  return {common::IpAddress(bytes), ntohs(v6.sin6_port)};
}

void SetOption(const Socket& socket, int level, int option) {
  const int on = 1;
  setsockopt(socket.Descriptor(), level, option, &on, sizeof(on));
}

std::optional<Socket> Open(const common::Endpoint& endpoint) {
  const int family = endpoint.address.IsV4() ? AF_INET : AF_INET6;
  const int descriptor =
      socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return std::nullopt;
  }
  return Socket(descriptor);
}

bool Bind(const Socket& socket, const common::Endpoint& endpoint) {
  const SystemAddress address = ToSystem(endpoint);
  return bind(socket.Descriptor(), address.Get(), address.size) == 0;
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
  const SystemAddress address = ToSystem(to);
  if (connect(opened->Descriptor(), address.Get(), address.size) != 0 &&
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
  AcceptedSocket accepted{Socket(descriptor), FromSystem(storage).address};
  SetOption(accepted.socket, IPPROTO_TCP, TCP_NODELAY);
  return accepted;
}

common::Endpoint LocalEndpoint(const Socket& socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(socket.Descriptor(), reinterpret_cast<sockaddr*>(&storage),
              &size);
  return FromSystem(storage);
}

}  // namespace sassafrasdyke::peer

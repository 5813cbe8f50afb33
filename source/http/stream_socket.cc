#include "http/stream_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "common/socket_address.h"

namespace sassafrasdyke::http {
namespace {

/// Connections that wait to be accepted: every instance of a large failure
/// domain may ask at once after a common restart.
constexpr int kBacklog = 128;

void SetFlag(int descriptor, int level, int option) {
  const int on = 1;
  setsockopt(descriptor, level, option, &on, sizeof(on));
}

StreamSocket Open(const common::Endpoint& endpoint) {
  return StreamSocket(socket(common::FamilyOf(endpoint),
                             SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace

StreamSocket& StreamSocket::operator=(StreamSocket&& other) noexcept {
  if (this != &other) {
    this->Close();
    this->descriptor = std::exchange(other.descriptor, -1);
  }
  return *this;
}

void StreamSocket::Close() {
  if (this->descriptor >= 0) {
    close(std::exchange(this->descriptor, -1));
  }
}

std::optional<StreamSocket> StreamSocket::Listen(
    const common::Endpoint& endpoint) {
  StreamSocket socket = Open(endpoint);
  if (!socket.IsOpen()) {
    return std::nullopt;
  }
  // Without it a process that is started again at once can't bind while
  // connections of its predecessor still time out in the kernel.
  SetFlag(socket.descriptor, SOL_SOCKET, SO_REUSEADDR);
  const common::SocketAddress address = common::ToSocketAddress(endpoint);
  if (bind(socket.descriptor, address.Get(), address.length) != 0 ||
      listen(socket.descriptor, kBacklog) != 0) {
    return std::nullopt;
  }
  return socket;
}

std::optional<StreamSocket> StreamSocket::Connect(const common::Endpoint& to) {
  StreamSocket socket = Open(to);
  if (!socket.IsOpen()) {
    return std::nullopt;
  }
  SetFlag(socket.descriptor, IPPROTO_TCP, TCP_NODELAY);
  const common::SocketAddress address = common::ToSocketAddress(to);
  if (connect(socket.descriptor, address.Get(), address.length) != 0 &&
      errno != EINPROGRESS) {
    return std::nullopt;
  }
  return socket;
}

std::optional<StreamSocket> StreamSocket::Accept() const {
  const int accepted =
      accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    return std::nullopt;
  }
  SetFlag(accepted, IPPROTO_TCP, TCP_NODELAY);
  return StreamSocket(accepted);
}

}  // namespace sassafrasdyke::http

#include "peer/tcp_transport.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace sassafrasdyke::peer {
namespace {

IoResult ResultOf(ssize_t bytes, IoState blocked) {
  if (bytes > 0) {
    return {IoState::kDone, static_cast<std::size_t>(bytes)};
  }
  const bool again = errno == EAGAIN || errno == EINTR;
  if (bytes < 0 && again) {
    return {blocked, 0};
  }
  return {IoState::kClosed, 0};
}

}  // namespace

TcpTransport::TcpTransport(Socket socket) : socket(std::move(socket)) {}

IoResult TcpTransport::Read(std::span<char> into) {
  const ssize_t bytes =
      recv(this->socket.Descriptor(), into.data(), into.size(), 0);
  return ResultOf(bytes, IoState::kWantsRead);
}

IoResult TcpTransport::Write(std::string_view bytes) {
  // Without the flag a peer that has gone would end this process by a signal.
  const ssize_t written =
      send(this->socket.Descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return ResultOf(written, IoState::kWantsWrite);
}

}  // namespace sassafrasdyke::peer

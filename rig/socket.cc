#include "rig/socket.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr int kBufferBytes = 4 * 1024 * 1024;
constexpr std::size_t kBatch = 64;
constexpr std::size_t kDatagramBytes = 2048;

}  // namespace

UdpSocket::UdpSocket(const common::Endpoint& bind, Receiver receiver)
    : receiver(std::move(receiver)) {
  const common::SocketAddress address = common::ToSocketAddress(bind);
  this->descriptor = ::socket(address.storage.ss_family,
                              SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &kBufferBytes,
               sizeof(kBufferBytes));
  if (::bind(this->descriptor, address.Get(), address.length) != 0) {
    ::close(this->descriptor);
    throw std::runtime_error("can't bind " + bind.ToString() + ": " +
                             std::strerror(errno));
  }
  this->readable.set<UdpSocket, &UdpSocket::OnReadable>(this);
  this->readable.start(this->descriptor, ev::READ);
}

UdpSocket::~UdpSocket() {
  this->readable.stop();
  ::close(this->descriptor);
}

void UdpSocket::Send(std::span<const std::uint8_t> datagram,
                     const common::SocketAddress& to) {
  const ssize_t sent = ::sendto(this->descriptor, datagram.data(),
                                datagram.size(), 0, to.Get(), to.length);
  if (sent < 0) {
    ++this->refused;
  }
}

std::size_t UdpSocket::SendAll(
    std::span<const std::span<const std::uint8_t>> datagrams,
    const common::SocketAddress& to) {
  std::array<iovec, kBatch> vectors;
  std::array<mmsghdr, kBatch> headers{};
  const std::size_t count = std::min(datagrams.size(), kBatch);
  for (std::size_t i = 0; i < count; ++i) {
    vectors[i] = {const_cast<std::uint8_t*>(datagrams[i].data()),
                  datagrams[i].size()};
    headers[i].msg_hdr.msg_name = const_cast<sockaddr*>(to.Get());
    headers[i].msg_hdr.msg_namelen = to.length;
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  const int sent = ::sendmmsg(this->descriptor, headers.data(),
                              static_cast<unsigned>(count), 0);
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

void UdpSocket::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  static std::array<std::array<std::uint8_t, kDatagramBytes>, kBatch> buffers;
  std::array<sockaddr_storage, kBatch> sources;
  std::array<iovec, kBatch> vectors;
  std::array<mmsghdr, kBatch> headers{};
  for (std::size_t i = 0; i < kBatch; ++i) {
    vectors[i] = {buffers[i].data(), kDatagramBytes};
    headers[i].msg_hdr.msg_name = &sources[i];
    headers[i].msg_hdr.msg_namelen = sizeof(sources[i]);
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  const int count =
      ::recvmmsg(this->descriptor, headers.data(), kBatch, 0, nullptr);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    this->receiver({buffers[index].data(), headers[index].msg_len},
                   common::FromSocketAddress(sources[index]));
  }
}

}  // namespace sassafrasdyke::rig

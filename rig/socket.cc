#include "rig/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
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

SocketAddress ToSocketAddress(const common::Endpoint& endpoint) {
  SocketAddress out;
  if (endpoint.address.IsV4()) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    v4.sin_addr.s_addr = htonl(endpoint.address.V4());
    std::memcpy(&out.storage, &v4, sizeof(v4));
    out.length = sizeof(v4);
    return out;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(endpoint.port);
  std::copy(endpoint.address.Raw().begin(), endpoint.address.Raw().end(),
            v6.sin6_addr.s6_addr);
  std::memcpy(&out.storage, &v6, sizeof(v6));
  out.length = sizeof(v6);
  return out;
}

common::Endpoint FromSocketAddress(const sockaddr_storage& storage) {
  if (storage.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &storage, sizeof(v4));
    return {common::IpAddress::FromV4(ntohl(v4.sin_addr.s_addr)),
            ntohs(v4.sin_port)};
  }
  sockaddr_in6 v6{};
  std::memcpy(&v6, &storage, sizeof(v6));
  common::IpAddress::Bytes bytes{};
  std::copy_n(v6.sin6_addr.s6_addr, bytes.size(), bytes.begin());
  return {common::IpAddress(bytes), ntohs(v6.sin6_port)};
}

UdpSocket::UdpSocket(const common::Endpoint& bind, Receiver receiver)
    : receiver(std::move(receiver)) {
  const SocketAddress address = ToSocketAddress(bind);
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
                     const SocketAddress& to) {
  const ssize_t sent = ::sendto(this->descriptor, datagram.data(),
                                datagram.size(), 0, to.Get(), to.length);
  if (sent < 0) {
    ++this->refused;
  }
}

std::size_t UdpSocket::SendAll(
    std::span<const std::span<const std::uint8_t>> datagrams,
    const SocketAddress& to) {
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
                   FromSocketAddress(sources[index]));
  }
}

}  // namespace sassafrasdyke::rig

#include "front/packet_port.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "common/socket_address.h"

namespace sassafrasdyke::front {
namespace {

/// Room in the kernel for packets that come while the process has no turn: a
/// tenth of a second of 20,000 packets a second. More would only be late.
constexpr int kReceiveBytes = 1 << 20;

}  // namespace

tl::expected<std::unique_ptr<PacketPort>, std::string> PacketPort::Open(
    const common::Endpoint& listen) {
  const int descriptor = socket(common::FamilyOf(listen),
                                SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected("no socket for packets: " +
                          std::string(std::strerror(errno)));
  }
  auto port = std::make_unique<PacketPort>(descriptor);
  // A smaller buffer than asked for still works, so the outcome isn't looked
  // at.
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
             sizeof(kReceiveBytes));
  const common::SocketAddress address = common::ToSocketAddress(listen);
  if (bind(descriptor, address.Get(), address.length) != 0) {
    return tl::unexpected("the port " + listen.ToString() +
                          " can't be opened: " + std::strerror(errno));
  }
  return port;
}

PacketPort::PacketPort(int descriptor)
    : descriptor(descriptor), incoming(kBatch), outgoing(kBatch) {}

PacketPort::~PacketPort() { close(this->descriptor); }

std::size_t PacketPort::Receive(
    const std::function<void(std::span<const std::uint8_t>)>& take) {
  std::array<mmsghdr, kBatch> messages{};
  std::array<iovec, kBatch> parts{};
  for (std::size_t i = 0; i < kBatch; ++i) {
    parts[i] = {this->incoming[i].data(), kBytes};
    messages[i].msg_hdr.msg_iov = &parts[i];
    messages[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = recvmmsg(this->descriptor, messages.data(), kBatch,
                             MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return 0;  // Nothing waits, or an error about a datagram sent earlier.
  }
  const auto taken = static_cast<std::size_t>(count);
  this->counts.received += taken;
  for (std::size_t i = 0; i < taken; ++i) {
    if ((messages[i].msg_hdr.msg_flags & MSG_TRUNC) != 0 ||
        messages[i].msg_len > core::kLargestPacket) {
      ++this->counts.cut;
      continue;
    }
    take({this->incoming[i].data(), messages[i].msg_len});
  }
  return taken;
}

std::span<std::uint8_t> PacketPort::NextBuffer() {
  if (this->queued == kBatch) {
    this->Flush();
  }
  return this->outgoing[this->queued];
}

void PacketPort::Queue(std::size_t size, const common::Endpoint& to) {
  this->sizes[this->queued] = size;
  this->destinations[this->queued] = to;
  ++this->queued;
}

void PacketPort::Flush() {
  std::array<mmsghdr, kBatch> messages{};
  std::array<iovec, kBatch> parts{};
  std::array<common::SocketAddress, kBatch> addresses;
  for (std::size_t i = 0; i < this->queued; ++i) {
    addresses[i] = common::ToSocketAddress(this->destinations[i]);
    parts[i] = {this->outgoing[i].data(), this->sizes[i]};
    msghdr& header = messages[i].msg_hdr;
    header.msg_name = &addresses[i].storage;
    header.msg_namelen = addresses[i].length;
    header.msg_iov = &parts[i];
    header.msg_iovlen = 1;
  }
  std::size_t done = 0;
  while (done < this->queued) {
    const int sent =
        sendmmsg(this->descriptor, messages.data() + done,
                 static_cast<unsigned>(this->queued - done), MSG_DONTWAIT);
    if (sent > 0) {
      this->counts.sent += static_cast<std::size_t>(sent);
      done += static_cast<std::size_t>(sent);
      continue;
    }
    // The first one can't be sent; the others still may.
    ++this->counts.unsent;
    ++done;
  }
  this->queued = 0;
}

}  // namespace sassafrasdyke::front

#include "datapath/tunnel_socket.h"

#include <linux/errqueue.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "common/socket_address.h"

namespace sassafrasdyke::datapath {
namespace {

/// Asked of the kernel, which grants less when its own limit is lower.
constexpr int kReceiveQueueBytes = 4 << 20;
/// ICMP errors read at one time.
constexpr int kMaxErrorsRead = 64;

SocketError ErrorOf(std::string operation) {
  return {std::move(operation), std::error_code(errno, std::system_category())};
}

bool SetOption(int descriptor, int level, int name, int value) {
  return setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

/// Whether an ICMP error of an earlier datagram may cause this one.
bool IsPendingIcmp(int error) {
  return error == ECONNREFUSED || error == EHOSTUNREACH ||
         error == ENETUNREACH || error == EHOSTDOWN || error == EPROTO;
}

/// The ancillary value of that type, or `otherwise` when the kernel sent none.
template <typename Value>
Value AncillaryOf(msghdr& header, int type, Value otherwise) {
  for (cmsghdr* part = CMSG_FIRSTHDR(&header); part != nullptr;
       part = CMSG_NXTHDR(&header, part)) {
    if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == type) {
      std::memcpy(&otherwise, CMSG_DATA(part), sizeof(otherwise));
    }
  }
  return otherwise;
}

/// The system's clock, which the kernel stamps datagrams with.
std::chrono::nanoseconds SystemTime() {
  return std::chrono::system_clock::now().time_since_epoch();
}

/// How long ago the kernel took the datagram; 0 when the clock was set back.
std::chrono::milliseconds WaitOf(msghdr& header, std::chrono::nanoseconds now) {
  const timespec unknown{.tv_sec = -1, .tv_nsec = 0};
  const timespec taken = AncillaryOf(header, SCM_TIMESTAMPNS, unknown);
  if (taken.tv_sec < 0) {
    return std::chrono::milliseconds{0};
  }
  const std::chrono::nanoseconds at = std::chrono::seconds(taken.tv_sec) +
                                      std::chrono::nanoseconds(taken.tv_nsec);
  return std::max(
      std::chrono::milliseconds{0},
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at));
}

iovec PartOf(ByteView bytes) {
  // The kernel only reads what it sends, but the structure has no const.
  return {.iov_base = const_cast<std::uint8_t*>(bytes.data()),
          .iov_len = bytes.size()};
}

}  // namespace

tl::expected<std::unique_ptr<TunnelSocket>, SocketError> TunnelSocket::Open(
    const common::Endpoint& listen) {
  const int family = common::FamilyOf(listen);
  const int descriptor =
      socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return tl::unexpected(ErrorOf("socket"));
  }
  // From here on the object closes the descriptor.
  std::unique_ptr<TunnelSocket> made(new TunnelSocket(descriptor, family));
  const bool v6 = family == AF_INET6;
  const bool options =
      SetOption(descriptor, SOL_SOCKET, SO_RCVBUF, kReceiveQueueBytes) &&
      SetOption(descriptor, SOL_SOCKET, SO_RXQ_OVFL, 1) &&
      SetOption(descriptor, SOL_SOCKET, SO_TIMESTAMPNS, 1) &&
      SetOption(descriptor, v6 ? IPPROTO_IPV6 : IPPROTO_IP,
                v6 ? IPV6_RECVERR : IP_RECVERR, 1);
  if (!options) {
    return tl::unexpected(ErrorOf("setsockopt"));
  }
  const std::optional<common::SocketAddress> address =
      common::ToSocketAddress(listen, family);
  if (bind(descriptor, address->Get(), address->length) != 0) {
    return tl::unexpected(ErrorOf("bind"));
  }
  return made;
}

TunnelSocket::TunnelSocket(int descriptor, int family)
    : descriptor(descriptor), family(family), slots(kBatch), headers(kBatch) {
  this->incoming.reserve(kBatch);
}

TunnelSocket::~TunnelSocket() { close(this->descriptor); }

common::Endpoint TunnelSocket::Local() const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&storage), &length);
  return common::FromSocketAddress(storage);
}

std::span<const IncomingDatagram> TunnelSocket::Receive() {
  for (std::size_t i = 0; i < kBatch; ++i) {
    Slot& slot = this->slots[i];
    slot.part = {slot.bytes.data(), slot.bytes.size()};
    msghdr& header = this->headers[i].msg_hdr;
    header = {};
    header.msg_name = &slot.from;
    header.msg_namelen = sizeof(slot.from);
    header.msg_iov = &slot.part;
    header.msg_iovlen = 1;
    header.msg_control = slot.control.data();
    header.msg_controllen = slot.control.size();
  }
  this->incoming.clear();
  const int count = recvmmsg(this->descriptor, this->headers.data(), kBatch,
                             MSG_DONTWAIT, nullptr);
  if (count < 0) {
    // An ICMP error of an earlier datagram surfaces here; the next call
    // receives. Unread errors would keep the loop awake for ever.
    this->DrainErrors();
    return this->incoming;
  }
  const std::chrono::nanoseconds now = SystemTime();
  for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
    this->incoming.push_back(this->ReadSlot(i, this->headers[i].msg_len, now));
  }
  this->counters.received += this->incoming.size();
  return this->incoming;
}

IncomingDatagram TunnelSocket::ReadSlot(std::size_t slot, std::size_t length,
                                        std::chrono::nanoseconds now) {
  const Slot& read = this->slots[slot];
  msghdr& header = this->headers[slot].msg_hdr;
  const std::uint32_t lost =
      AncillaryOf(header, SO_RXQ_OVFL, this->overflow_seen);
  this->counters.overflowed += lost - this->overflow_seen;
  this->overflow_seen = lost;
  return {.from = common::FromSocketAddress(read.from),
          .bytes = ByteView(read.bytes).first(length),
          .oversize = (header.msg_flags & MSG_TRUNC) != 0,
          .waited = WaitOf(header, now)};
}

void TunnelSocket::Send(std::span<const OutgoingDatagram> datagrams) {
  while (!datagrams.empty()) {
    const std::size_t done =
        this->SendBatch(datagrams.first(std::min(datagrams.size(), kBatch)));
    datagrams = datagrams.subspan(done);
  }
}

std::size_t TunnelSocket::SendBatch(
    std::span<const OutgoingDatagram> datagrams) {
  std::array<mmsghdr, kBatch> messages{};
  std::array<common::SocketAddress, kBatch> addresses{};
  std::array<std::array<iovec, 2>, kBatch> parts{};
  for (std::size_t i = 0; i < datagrams.size(); ++i) {
    const OutgoingDatagram& datagram = datagrams[i];
    // An unreachable family leaves an empty address, which the kernel refuses
    // and `CountFailure` counts.
    addresses[i] = common::ToSocketAddress(datagram.to, this->family)
                       .value_or(common::SocketAddress{});
    parts[i] = {PartOf(datagram.header.View()), PartOf(datagram.inner)};
    msghdr& header = messages[i].msg_hdr;
    header.msg_name = &addresses[i].storage;
    header.msg_namelen = addresses[i].length;
    header.msg_iov = parts[i].data();
    header.msg_iovlen = parts[i].size();
  }
  const int sent =
      sendmmsg(this->descriptor, messages.data(),
               static_cast<unsigned>(datagrams.size()), MSG_DONTWAIT);
  if (sent > 0) {
    this->error_pending = false;
    this->counters.sent += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
  }
  return this->CountFailure(errno, datagrams.size());
}

std::size_t TunnelSocket::CountFailure(int error, std::size_t waiting) {
  if (error == EINTR) {
    return 0;
  }
  if (error == EAGAIN || error == ENOBUFS) {
    // The whole batch is lost as on a full link: kept packets would grow
    // without bound, and callers' TCP would see delay in place of loss.
    this->counters.queue_full += waiting;
    return waiting;
  }
  if (IsPendingIcmp(error) && !this->error_pending) {
    // A target that died makes ICMP errors, and the kernel reports one on
    // whatever is sent next. Without the second try another target's packets
    // would be lost with it; one would see retransmissions of healthy flows.
    this->error_pending = true;
    this->DrainErrors();
    return 0;
  }
  this->error_pending = false;
  if (error == EMSGSIZE) {
    ++this->counters.too_long;
  } else {
    ++this->counters.refused;
  }
  return 1;
}

void TunnelSocket::DrainErrors() {
  for (int read = 0; read < kMaxErrorsRead; ++read) {
    msghdr header{};
    if (recvmsg(this->descriptor, &header, MSG_ERRQUEUE | MSG_DONTWAIT) < 0) {
      return;
    }
    ++this->counters.icmp_errors;
  }
}

}  // namespace sassafrasdyke::datapath

/// The UDP socket of the data path: batches in and out, and what the kernel
/// says when it can't.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <system_error>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "datapath/gue.h"

namespace sassafrasdyke::datapath {

/// A call of the operating system that failed.
struct SocketError {
  std::string operation;  ///< Such as "bind".
  std::error_code code;
};

/// A received UDP payload; valid until the next `Receive`.
struct IncomingDatagram {
  common::Endpoint from;
  ByteView bytes;
  bool oversize{false};  ///< `bytes` is only its start.
  /// How long it lay in the kernel's queue.
  std::chrono::milliseconds waited{0};
};

/// One datagram to send: a header and the inner packet, neither copied.
struct OutgoingDatagram {
  common::Endpoint to;
  GueHeader header;
  ByteView inner;
};

/// Datagrams that did not arrive or leave, by reason; only grow.
struct SocketCounters {
  std::uint64_t received{0};
  std::uint64_t sent{0};
  std::uint64_t queue_full{0};   ///< EAGAIN or ENOBUFS while sending.
  std::uint64_t too_long{0};     ///< Longer than the path's MTU.
  std::uint64_t refused{0};      ///< Other errors of sending.
  std::uint64_t icmp_errors{0};  ///< ICMP errors about earlier datagrams.
  std::uint64_t overflowed{0};   ///< Lost in the kernel's receive queue.
};

/// Datagrams taken or sent by one system call.
inline constexpr std::size_t kBatch = 64;
/// The greatest datagram taken, headers included: jumbo frames fit.
inline constexpr std::size_t kMaxDatagram = 9216;

/// A bound, non-blocking UDP socket.
class TunnelSocket {
 public:
  /// Opens a socket on `listen`.
  static tl::expected<std::unique_ptr<TunnelSocket>, SocketError> Open(
      const common::Endpoint& listen);

  ~TunnelSocket();
  TunnelSocket(const TunnelSocket&) = delete;
  TunnelSocket& operator=(const TunnelSocket&) = delete;

  /// The descriptor, for the event loop to watch.
  int Descriptor() const { return this->descriptor; }
  /// Where it listens; tells the port when 0 was asked for.
  common::Endpoint Local() const;

  /// Takes up to `kBatch` datagrams that wait; none when there are none.
  std::span<const IncomingDatagram> Receive();

  /// Sends each datagram once, or counts why not. Never blocks.
  void Send(std::span<const OutgoingDatagram> datagrams);

  const SocketCounters& Counters() const { return this->counters; }

 private:
  TunnelSocket(int descriptor, int family);

  /// Sends at most `kBatch`; returns how many are done with.
  std::size_t SendBatch(std::span<const OutgoingDatagram> datagrams);
  /// Counts a failed send; returns how many datagrams of `waiting` are lost.
  std::size_t CountFailure(int error, std::size_t waiting);
  void DrainErrors();
  /// Reads a received datagram; `now` is the time of the system's clock.
  IncomingDatagram ReadSlot(std::size_t slot, std::size_t length,
                            std::chrono::nanoseconds now);

  /// What one received datagram needs.
  struct Slot {
    std::array<std::uint8_t, kMaxDatagram> bytes;
    sockaddr_storage from;
    iovec part;
    alignas(cmsghdr) std::array<std::uint8_t, 64> control;
  };

  int descriptor;
  int family;
  bool error_pending{false};
  std::uint32_t overflow_seen{0};
  std::vector<Slot> slots;
  std::vector<mmsghdr> headers;
  std::vector<IncomingDatagram> incoming;
  SocketCounters counters;
};

}  // namespace sassafrasdyke::datapath

/// What the streams between instances count.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "peer/peer_kinds.h"
#include "peer/receive_limiter.h"

namespace sassafrasdyke::peer {

/// Why a connection ended, or was not let in.
enum class CutReason : std::uint8_t {
  kNotListed,        ///< Its address or id is not on the instance list.
  kOtherFleet,       ///< It names another fleet.
  kOtherVersion,     ///< No version of the protocol in common.
  kMisdirected,      ///< It means to reach another instance.
  kOldIncarnation,   ///< A life before the published one.
  kNoConfiguration,  ///< This instance doesn't know its own fleet yet.
  kTooMany,          ///< Too many connections wait for their hello.
  kNoHello,          ///< No hello within its deadline.
  kTls,              ///< The certificates or the handshake were refused.
  kProtocol,         ///< Not HTTP/2 as we speak it.
  kTooLong,          ///< A frame above the limit.
  kMalformed,        ///< A frame that is no message.
  kSilent,           ///< Nothing came within the deadline: half-open.
  kRefused,          ///< The other end refused us.
  kLost,             ///< Closed by the other end, or lost.
  kReplaced,         ///< The same peer opened a newer one.
  kUnlisted,         ///< The list changed: the peer is gone, or is elsewhere.
  kUnused,           ///< Nothing was sent for a while.
  kCount,
};

/// The metrics' word for a reason.
std::string_view Word(CutReason reason);

/// Messages and their encoded bytes, frame headers included.
struct Traffic {
  std::uint64_t messages{0};
  std::uint64_t bytes{0};
};

/// Counts since the process started. Arrays are indexed by kind or reason.
struct PeerCounts {
  std::array<Traffic, kKinds> sent{};
  std::array<Traffic, kKinds> received{};
  /// Dropped because the queue was full, the message too old, or its
  /// destination not on the list.
  std::array<std::uint64_t, kKinds> dropped_full{};
  std::array<std::uint64_t, kKinds> dropped_old{};
  std::array<std::uint64_t, kKinds> dropped_unlisted{};
  std::array<std::uint64_t, static_cast<std::size_t>(CutReason::kCount)> cut{};
  /// Times that a peer's next message had to wait, by what it had spent.
  std::array<std::uint64_t, static_cast<std::size_t>(ReceiveLimit::kCount)>
      paused{};
  /// Bytes through the sockets, above TCP and TLS.
  std::uint64_t wire_bytes_sent{0};
  std::uint64_t wire_bytes_received{0};
  std::uint64_t connects{0};  ///< Attempts.
  std::uint64_t accepts{0};
  std::uint64_t tls_reload_failures{0};

  std::uint64_t& Cut(CutReason reason) {
    return this->cut[static_cast<std::size_t>(reason)];
  }
  std::uint64_t Cut(CutReason reason) const {
    return this->cut[static_cast<std::size_t>(reason)];
  }
  std::uint64_t Paused(ReceiveLimit limit) const {
    return this->paused[static_cast<std::size_t>(limit)];
  }
};

}  // namespace sassafrasdyke::peer

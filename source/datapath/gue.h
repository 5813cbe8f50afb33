/// The GUE headers around inner IP packets: from the fabric, to targets, and
/// between instances (IETF draft-ietf-intarea-gue, variants 0 and 1).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <tl/expected.hpp>

#include "core/packet.h"
#include "datapath/packet_fault.h"

namespace sassafrasdyke::datapath {

/// Bytes of a packet or a part of one; never owns them.
using ByteView = std::span<const std::uint8_t>;

/// A datagram without its GUE header.
struct GueDatagram {
  /// The inner IP packet.
  ByteView inner;
  /// What the sending instance says, when the header carries private data.
  std::optional<core::Arrival> arrival;
};

/// Reads the GUE header of a UDP payload. Fails with `kTruncated` or `kBadGue`.
tl::expected<GueDatagram, PacketFault> DecodeGue(ByteView datagram);

/// The bytes of the greatest header that this system sends.
inline constexpr std::size_t kMaxGueHeader = 16;

/// An encoded header; the first `size` bytes count.
struct GueHeader {
  std::array<std::uint8_t, kMaxGueHeader> bytes{};
  std::size_t size{0};

  ByteView View() const { return ByteView(this->bytes).first(this->size); }
};

/// The 4-byte header in front of `inner` on its way to a target. The kernel's
/// FOU/GUE receiver takes it.
GueHeader EncodeForTarget(ByteView inner);

/// The header in front of `inner` on its way to another instance: 12 bytes, and
/// 16 when the packet has an asker.
GueHeader EncodeForInstance(ByteView inner, const core::Arrival& arrival);

}  // namespace sassafrasdyke::datapath

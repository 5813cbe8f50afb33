/// Interface to the wire format of flow packets. The adapter of a platform
/// implements it; adapters only translate.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "common/address.h"
#include "core/steering/flow_packet.h"
#include "core/view/published.h"

namespace sassafrasdyke::core {

/// Reads and writes packets.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /// Parses a packet; returns nothing when the bytes are no packet of a flow.
  virtual std::optional<FlowPacket> Read(
      std::span<const std::uint8_t> bytes) const = 0;
  /// Writes the datagram that carries `packet` to a target: the packet
  /// unchanged except for its word. Returns the size in bytes; `into` must have
  /// room for `packet` and `kTargetOverhead` bytes more.
  virtual std::size_t WriteForTarget(std::span<const std::uint8_t> packet,
                                     TargetNumber target, TargetWord word,
                                     std::span<std::uint8_t> into) const = 0;
  /// Writes the reset that answers `packet`; returns its size.
  virtual std::size_t WriteReset(const FlowPacket& packet,
                                 std::span<std::uint8_t> into) const = 0;
};

/// Bytes that a datagram to a target may add to its packet.
inline constexpr std::size_t kTargetOverhead = 16;
/// Maximum packet size, in bytes; larger packets are truncated on receipt and
/// dropped.
inline constexpr std::size_t kLargestPacket = 1472;

}  // namespace sassafrasdyke::core

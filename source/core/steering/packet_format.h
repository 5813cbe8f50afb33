/// How packets of flows look on the wire. The adapter of a platform implements
/// this; it translates and decides nothing.
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

  /// Nothing when the bytes are no packet of a flow.
  virtual std::optional<FlowPacket> Read(
      std::span<const std::uint8_t> bytes) const = 0;
  /// Writes the datagram that carries `packet` to a target: the packet itself
  /// unchanged but for the word. Returns its size; `into` must have room for
  /// `packet` and `kTargetOverhead` bytes more.
  virtual std::size_t WriteForTarget(std::span<const std::uint8_t> packet,
                                     TargetNumber target, TargetWord word,
                                     std::span<std::uint8_t> into) const = 0;
  /// Writes the reset that answers `packet`; returns its size.
  virtual std::size_t WriteReset(const FlowPacket& packet,
                                 std::span<std::uint8_t> into) const = 0;
};

/// Bytes that a datagram to a target may add to its packet.
inline constexpr std::size_t kTargetOverhead = 16;
/// Largest packet that is taken, in bytes; larger ones are cut and dropped.
inline constexpr std::size_t kLargestPacket = 1472;

}  // namespace sassafrasdyke::core

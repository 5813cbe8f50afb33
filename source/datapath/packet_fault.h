/// Why a datagram is not a caller's TCP segment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafrasdyke::datapath {

/// What is wrong with a datagram. Each one is counted under its word.
enum class PacketFault : std::uint8_t {
  kTruncated,     ///< Ends before a header or length says.
  kOversize,      ///< Longer than the receive buffer.
  kBadGue,        ///< A GUE header of a kind that this system never sends.
  kBadIpHeader,   ///< A version, header length or total length that lies.
  kBadTcpHeader,  ///< A data offset or flags that no TCP sender makes.
  kFragmented,    ///< A fragment: only the first one has ports.
  kNotTcp,        ///< Another transport protocol.
  kLooping,       ///< Came back from an instance as if from the fabric.
  kUntrustedHop,  ///< Claims an instance's origin from another address.
  kLate,          ///< Waited too long in the kernel's queue.
};

/// The number of faults, for arrays of counters.
inline constexpr std::size_t kPacketFaults =
    static_cast<std::size_t>(PacketFault::kLate) + 1;

/// The metric label's word for a fault; stable, documented in
/// OPERATIONS-BALANCE.md.
std::string_view Word(PacketFault fault);

}  // namespace sassafrasdyke::datapath

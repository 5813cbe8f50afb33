/// One TCP segment between a caller and a target, and its form on the wire:
/// GUE variant 0 in UDP, then the IPv4 or IPv6 packet. Kept apart from the
/// balancer's own codec, so that the two check each other.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "common/flow_key.h"
#include "core/packet.h"

namespace sassafrasdyke::rig {

/// Which end the segment is for.
enum class Heading { kToService, kToCaller };

/// A segment. `flow` always names caller, then service, whatever the heading.
struct Segment {
  Heading heading{Heading::kToService};
  common::FlowKey flow;
  core::TcpFlags flags;
  std::uint32_t sequence{0};
  std::uint32_t acknowledgement{0};
  std::vector<std::uint8_t> payload;

  /// Sequence numbers it takes: its payload, and one each for SYN and FIN.
  std::uint32_t Length() const;
};

/// The datagram that carries a segment, with valid checksums.
std::vector<std::uint8_t> Encode(const Segment& segment);

/// Reads a datagram; nothing when it isn't GUE with one whole TCP packet.
std::optional<Segment> Decode(std::span<const std::uint8_t> datagram,
                              Heading heading);

/// Whether sequence number `left` comes before `right`, modulo 2^32.
bool Before(std::uint32_t left, std::uint32_t right);

}  // namespace sassafrasdyke::rig

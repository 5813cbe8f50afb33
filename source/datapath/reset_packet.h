/// Builds the TCP RST that answers a caller in the service's name.
#pragma once

#include <cstdint>
#include <vector>

#include "core/packet.h"

namespace sassafrasdyke::datapath {

/// Builds a whole IP packet from service to caller that resets the flow of
/// `segment`, by the rules of RFC 9293, section 3.10.7.1: a segment with ACK
/// is answered at the sequence number it expects next, any other one by an
/// acknowledgement of all it carries. Checksums are set.
std::vector<std::uint8_t> BuildReset(const core::PacketArrived& segment);

}  // namespace sassafrasdyke::datapath

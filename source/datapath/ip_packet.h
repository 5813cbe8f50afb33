/// Reads an inner IPv4 or IPv6 packet as a caller's TCP segment, with the C
/// library's header structures.
#pragma once

#include <tl/expected.hpp>

#include "core/packet.h"
#include "datapath/gue.h"
#include "datapath/packet_fault.h"

namespace sassafrasdyke::datapath {

/// Reads the flow, flags and lengths of `inner`. `arrival` is left at its
/// default. Checksums are the target's to check: the packet passes unchanged.
tl::expected<core::PacketArrived, PacketFault> ReadSegment(ByteView inner);

}  // namespace sassafrasdyke::datapath

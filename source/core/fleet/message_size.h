/// Estimates the bytes that a message takes on the wire.
#pragma once

#include <cstddef>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// The size of `message` in MessagePack with structs as arrays, plus the header
/// of one HTTP/2 DATA frame. Budgets are counted in these bytes. It is an
/// estimate because the core has no codec.
std::size_t EstimatedBytes(const PeerMessage& message);

}  // namespace sassafrasdyke::core

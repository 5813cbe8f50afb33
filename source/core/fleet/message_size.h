/// Estimates the bytes a message takes between two instances.
#pragma once

#include <cstddef>

#include "core/messages.h"

namespace sassafrasdyke::core {

/// The size of `message` in MessagePack with fields as arrays, plus the header
/// of one HTTP/2 DATA frame. Budgets are counted in it; the core has no codec.
std::size_t EstimatedBytes(const PeerMessage& message);

}  // namespace sassafrasdyke::core

/// Observations of load and target health as text inside a digest, which the
/// releases that don't know it ignore. Names are written once and then referred
/// to by their position.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "core/load/observation_exchange.h"

namespace sassafrasdyke::front {

/// Longest text in bytes. A digest without changes has up to 800 others of the
/// 1,400 that every link carries whole.
inline constexpr std::size_t kMaxObservationBytes = 480;

/// Empty if there is nothing to say. What doesn't fit is left out: first the
/// smallest entries of the longest reports.
std::string EncodeObservations(const core::PeerObservations& observations);
/// Nothing if the text is not what `EncodeObservations` writes. Values are in
/// the range of their types; `LoadBoard` checks them further.
std::optional<core::PeerObservations> DecodeObservations(
    const std::string& text);

}  // namespace sassafrasdyke::front

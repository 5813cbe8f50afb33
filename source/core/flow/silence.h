/// Detects flows whose path is dead while their target serves others.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/flow/flow_record.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// Updates the record with the packet's sequence number. Must be called once
/// for each packet, before `last_seen` is updated.
void TrackSequence(const PacketArrived& packet, std::chrono::milliseconds now,
                   FlowRecord& record);

/// Whether the caller has retransmitted one segment at least `silent_repeats`
/// times, each time after a longer gap, while the same target answered a new
/// flow. `answered_at` is when the target last answered a new flow; negative
/// for never.
bool IsSilent(const FlowRecord& record, std::uint32_t silent_repeats,
              std::chrono::milliseconds answered_at);

}  // namespace sassafrasdyke::core

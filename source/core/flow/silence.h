/// Finds flows whose path is dead while their target serves others.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/flow/flow_record.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// Notes the packet's sequence number in the record. To be called once for each
/// packet, before `last_seen` is moved on.
void NoteSequence(const PacketArrived& packet, std::chrono::milliseconds now,
                  FlowRecord& record);

/// Whether the caller has sent one segment again and again, each time after a
/// longer wait, while a new flow was answered by the same target. `answered_at`
/// is when the target last answered a new flow; negative for never.
bool IsSilent(const FlowRecord& record, std::uint32_t silent_repeats,
              std::chrono::milliseconds answered_at);

}  // namespace sassafrasdyke::core

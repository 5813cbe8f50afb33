#include "core/flow/silence.h"

#include <algorithm>
#include <limits>

namespace sassafrasdyke::core {
namespace {

/// Payload of a keep-alive or zero-window probe at most. These repeat their
/// sequence number on a healthy flow.
constexpr std::uint32_t kMaxProbeBytes = 1;
/// Two copies of a segment closer than this were duplicated by the network, not
/// retransmitted after a timeout.
constexpr std::uint32_t kMinGapTicks = 2;

void StartSequence(const PacketArrived& packet, std::chrono::milliseconds now,
                   FlowRecord& record) {
  record.sequence = packet.sequence;
  record.sequence_since = Tick::From(now);
  record.repeats = 0;
  record.repeat_gap = 0;
}

}  // namespace

void TrackSequence(const PacketArrived& packet, std::chrono::milliseconds now,
                   FlowRecord& record) {
  const bool is_repeat = packet.sequence == record.sequence &&
                         packet.payload_bytes > kMaxProbeBytes;
  if (!is_repeat) {
    StartSequence(packet, now, record);
    return;
  }
  const std::uint32_t gap =
      Tick::From(now).value -
      std::max(record.last_seen.value, record.sequence_since.value);
  if (gap < kMinGapTicks) {
    return;
  }
  // The retransmission timeout backs off: each gap is longer than the one
  // before. Repeats at a steady pace are no sign of a dead path.
  if (record.repeats > 0 && gap <= record.repeat_gap) {
    return;
  }
  record.repeat_gap = static_cast<std::uint16_t>(
      std::min<std::uint32_t>(gap, std::numeric_limits<std::uint16_t>::max()));
  record.repeats = static_cast<std::uint8_t>(std::min<unsigned>(
      record.repeats + 1U, std::numeric_limits<std::uint8_t>::max()));
}

bool IsSilent(const FlowRecord& record, std::uint32_t silent_repeats,
              std::chrono::milliseconds answered_at) {
  // Unless the target has answered a new flow since, the whole target may be at
  // fault; a RST would only make all its callers reconnect at once.
  return record.state != FlowState::kSyn && record.repeats >= silent_repeats &&
         answered_at > record.sequence_since.Time();
}

}  // namespace sassafrasdyke::core

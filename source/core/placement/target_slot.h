/// The process-local index of a target's record.
#pragma once

#include "common/ids.h"

namespace sassafrasdyke::core {

/// Identifies a target from its publication until it is removed, or its id is
/// published with another service or tunnel. A target id that is published
/// again gets another slot, as long as flows refer to the old one, so the two
/// are told apart. Never leaves the process.
using TargetSlot = common::Id<struct TargetSlotTag>;

/// No target.
inline constexpr TargetSlot kNoSlot{0xFFFFFFFFU};

}  // namespace sassafrasdyke::core

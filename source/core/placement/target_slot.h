/// Names one life of a target inside one process.
#pragma once

#include "common/ids.h"

namespace sassafrasdyke::core {

/// One target from its publication until it is removed, or published anew with
/// another service or tunnel. A target id that comes back is another life, so
/// whatever still refers to the old one can tell. Never leaves the process.
using TargetSlot = common::Id<struct TargetSlotTag>;

/// No target.
inline constexpr TargetSlot kNoSlot{0xFFFFFFFFU};

}  // namespace sassafrasdyke::core

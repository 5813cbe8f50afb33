/// Decisions by probability.
#pragma once

#include <cstdint>

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {

/// True with this probability, in steps of a millionth.
inline bool Draw(Jitter& random, double probability) {
  constexpr std::uint64_t kDraws = 1U << 20U;
  return static_cast<double>(random.Below(kDraws)) <
         probability * static_cast<double>(kDraws);
}

}  // namespace sassafrasdyke::core

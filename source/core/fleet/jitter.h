/// Seeded random numbers for spreading work over time; not for decisions on
/// which instances must agree.
#pragma once

#include <chrono>
#include <cstdint>

namespace sassafrasdyke::core {

/// The SplitMix64 generator. The same seed gives the same values on every
/// machine.
class Jitter {
 public:
  explicit Jitter(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next();

  /// Uniform in [0, limit).
  std::uint64_t Below(std::uint64_t limit);

  /// Uniform in [0, longest].
  std::chrono::milliseconds UpTo(std::chrono::milliseconds longest);

 private:
  std::uint64_t state;
};

}  // namespace sassafrasdyke::core

#include "core/fleet/jitter.h"

namespace sassafrasdyke::core {

std::uint64_t Jitter::Next() {
  this->state += 0x9E3779B97F4A7C15U;
  std::uint64_t mixed = this->state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
  return mixed ^ (mixed >> 31U);
}

std::uint64_t Jitter::Below(std::uint64_t limit) {
  return limit == 0 ? 0 : this->Next() % limit;
}

std::chrono::milliseconds Jitter::UpTo(std::chrono::milliseconds longest) {
  const auto limit = static_cast<std::uint64_t>(longest.count()) + 1;
  return std::chrono::milliseconds(
      static_cast<std::chrono::milliseconds::rep>(this->Below(limit)));
}

}  // namespace sassafrasdyke::core

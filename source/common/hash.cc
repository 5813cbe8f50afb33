#include "common/hash.h"

#include <xxhash.h>

#include <array>
#include <cmath>

namespace sassafrasdyke::common {
namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kNumberBytes = 8;
/// 2^-52: with 52 bits, adding half a unit stays exact, so the result never
/// rounds up to 1, whose logarithm of 0 would turn the greatest score into the
/// least.
constexpr double kUnit = 1.0 / 4503599627370496.0;
constexpr unsigned kDroppedBits = 12;

void WriteLittleEndian(std::uint64_t value, std::uint8_t* out) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    out[i] = static_cast<std::uint8_t>(value >> (kBitsPerByte * i));
  }
}

}  // namespace

std::uint64_t HashBytes(const void* data, std::size_t size,
                        std::uint64_t seed) {
  return XXH3_64bits_withSeed(data, size, seed);
}

std::uint64_t HashNumbers(std::uint64_t first, std::uint64_t second,
                          std::uint64_t seed) {
  std::array<std::uint8_t, 2 * kNumberBytes> bytes{};
  WriteLittleEndian(first, bytes.data());
  WriteLittleEndian(second, bytes.data() + kNumberBytes);
  return HashBytes(bytes.data(), bytes.size(), seed);
}

double RendezvousScore(std::uint64_t hash, double weight) {
  // Half a unit keeps the argument of the logarithm above 0.
  const double uniform =
      (static_cast<double>(hash >> kDroppedBits) + 0.5) * kUnit;
  return -weight / std::log(uniform);
}

}  // namespace sassafrasdyke::common

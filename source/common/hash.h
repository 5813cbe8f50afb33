/// The one hash of the project (xxHash, XXH3 with 64 bits). All instances must
/// agree on it, so nothing else may be used where instances compare results.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sassafrasdyke::common {

/// Hashes `size` bytes at `data` under `seed`.
std::uint64_t HashBytes(const void* data, std::size_t size, std::uint64_t seed);

/// Mixes three numbers into one hash, independent of byte order.
std::uint64_t HashNumbers(std::uint64_t first, std::uint64_t second,
                          std::uint64_t seed);

/// The score of weighted rendezvous hashing: the greatest score wins, and each
/// candidate wins in proportion to its weight. `hash` is uniform over 64 bits;
/// a `weight` of 0 never wins over a positive one.
double RendezvousScore(std::uint64_t hash, double weight);

}  // namespace sassafrasdyke::common

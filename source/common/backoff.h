/// How long to wait before something that failed is tried again.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace sassafrasdyke::common {

/// Exponential back-off with full jitter: after the n-th failure in a row the
/// wait is uniform between 0 and the lesser of `longest` and
/// `first` * 2^(n-1).
///
/// When a rack restarts or a link returns, all instances fail and retry at the
/// same moments unless chance spreads them; one would see the platform or a
/// peer answer in waves and refuse most of each. Waits that are uniform from 0
/// flatten the wave soonest.
class Backoff {
 public:
  /// `seed` varies the jitter only.
  Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest,
          std::uint64_t seed);

  /// Notes a failure and returns the wait before the next try.
  std::chrono::milliseconds Fail();
  /// Notes a success: the next failure waits shortly again.
  void Succeed();
  /// A wait uniform between 0 and `longest_wait`, without noting anything.
  std::chrono::milliseconds Jitter(std::chrono::milliseconds longest_wait);

 private:
  std::chrono::milliseconds first;
  std::chrono::milliseconds longest;
  std::chrono::milliseconds bound;
  std::mt19937_64 random;
};

}  // namespace sassafrasdyke::common

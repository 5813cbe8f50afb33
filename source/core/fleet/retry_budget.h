/// Bounds repeats to a share of the first attempts.
#pragma once

#include <cstdint>

namespace sassafrasdyke::core {

/// Every first attempt earns a share of a repeat. While everything fails,
/// repeats are then a small part of the load and can't multiply it.
class RetryBudget {
 public:
  /// Counts a first attempt.
  void OnRequest();

  /// Takes one repeat, or returns false when there are none left.
  bool TakeRetry();

  /// Earns one repeat for a long quiet time, so that an instance that makes no
  /// first attempts isn't left without any for ever.
  void OnQuietTime();

  std::uint64_t Denied() const { return this->denied; }

 private:
  void Earn(std::uint32_t share);

  std::uint32_t saved{kMostSaved};  ///< Hundredths of a repeat.
  std::uint64_t denied{0};

  static constexpr std::uint32_t kOneRetry = 100;
  static constexpr std::uint32_t kSharePerRequest = 20;
  static constexpr std::uint32_t kMostSaved = 10 * kOneRetry;
};

}  // namespace sassafrasdyke::core

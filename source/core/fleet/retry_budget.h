/// A retry budget: limits retries to a share of the first attempts.
#pragma once

#include <cstdint>

namespace sassafrasdyke::core {

/// Every first attempt earns a fraction of a retry. Even when all requests
/// fail, retries then add only a small share to the load.
class RetryBudget {
 public:
  /// Counts a first attempt.
  void OnRequest();

  /// Spends one retry; false when none is left.
  bool TakeRetry();

  /// Earns one retry. Called at a fixed interval, so that an instance without
  /// first attempts isn't left without retries for good.
  void EarnRetry();

  std::uint64_t Denied() const { return this->denied; }

 private:
  void Earn(std::uint32_t share);

  std::uint32_t saved{kMaxSaved};  ///< Hundredths of a retry.
  std::uint64_t denied{0};

  static constexpr std::uint32_t kOneRetry = 100;
  static constexpr std::uint32_t kSharePerRequest = 20;
  static constexpr std::uint32_t kMaxSaved = 10 * kOneRetry;
};

}  // namespace sassafrasdyke::core

/// Limits an average rate and the most that may leave at once.
#pragma once

#include <chrono>
#include <cstddef>

namespace sassafrasdyke::common {

/// The shape of a token bucket.
struct BucketLimits {
  std::size_t per_second{0};  ///< Average, in bytes or messages.
  std::size_t burst{0};       ///< Most that may leave at once, likewise.
};

/// A token bucket, full at the start.
class TokenBucket {
 public:
  explicit TokenBucket(BucketLimits limits);

  /// Takes `amount` at `now` (monotonic), or nothing and returns false.
  bool Take(std::size_t amount, std::chrono::milliseconds now);

  /// Changes the shape; what is available stays, up to the new burst. A bucket
  /// without a burst until now starts full.
  void SetLimits(BucketLimits limits);

  /// The filled part at `now`, from 0 to 1.
  double Fill(std::chrono::milliseconds now);

  std::size_t Available() const { return this->available; }

 private:
  void Refill(std::chrono::milliseconds now);

  BucketLimits limits;
  std::size_t available;
  std::chrono::milliseconds refilled_at{0};
};

}  // namespace sassafrasdyke::common

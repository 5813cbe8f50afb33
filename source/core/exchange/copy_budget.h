/// Limits the bytes that copies of exceptions cost.
#pragma once

#include <chrono>
#include <cstddef>

namespace sassafrasdyke::core {

/// The shape of a token bucket.
struct CopyLimits {
  std::size_t bytes_per_second{0};  ///< Average, encoded bytes.
  std::size_t burst{0};             ///< Most that may leave at once, in bytes.
};

/// A token bucket, full at the start.
class CopyBudget {
 public:
  /// Changes the limits; what was earned stays, up to the new burst.
  void SetLimits(CopyLimits limits);

  /// Takes `bytes` if they are there at `now`.
  bool Take(std::size_t bytes, std::chrono::milliseconds now);

  /// The filled part, from 0 to 1.
  double Fill() const;

 private:
  void Refill(std::chrono::milliseconds now);

  CopyLimits limits;
  std::size_t available{0};
  bool started{false};
  std::chrono::milliseconds refilled_at{0};
};

}  // namespace sassafrasdyke::core

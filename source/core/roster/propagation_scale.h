/// Scales the intervals of change propagation. The default intervals for
/// reading the store and querying peers suit a platform that requires a change
/// to reach all instances within 3 s. For a shorter bound all intervals are
/// shortened in proportion, at the cost of more calls. With the default ones,
/// an instance whose readers died would still place flows by the old
/// configuration.
#pragma once

#include <algorithm>
#include <chrono>

namespace sassafrasdyke::core {

/// Shortens intervals by a common factor.
class PropagationScale {
 public:
  /// `known_within`: the time within which a change must reach all instances.
  explicit PropagationScale(std::chrono::milliseconds known_within)
      : known_within(known_within),
        factor(
            std::clamp(known_within / kDefaultKnownWithin, kMinFactor, 1.0)) {}

  std::chrono::milliseconds KnownWithin() const { return this->known_within; }

  /// The scaled form of a default interval.
  std::chrono::milliseconds Apply(std::chrono::milliseconds interval) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(interval *
                                                                 this->factor);
  }

 private:
  using Decimal = std::chrono::duration<double, std::milli>;

  static constexpr Decimal kDefaultKnownWithin{3000.0};
  /// Corresponds to ten times the calls and a watch of 150 ms. Shorter
  /// intervals would spend more on calls than on packets.
  static constexpr double kMinFactor = 0.1;

  std::chrono::milliseconds known_within;
  double factor;
};

}  // namespace sassafrasdyke::core

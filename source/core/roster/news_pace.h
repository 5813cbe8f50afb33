/// How fast news must travel. The usual times of reading the store and of
/// asking peers are made for a platform that wants changes to be known
/// everywhere within 3 s. One that wants them sooner gets all of these times
/// shorter in proportion, for more calls; with the usual ones an instance whose
/// readers died would still place flows by the old configuration.
#pragma once

#include <algorithm>
#include <chrono>

namespace sassafrasdyke::core {

/// Shortens times by one part.
class NewsPace {
 public:
  /// `known_within`: the time in which a change must be known.
  explicit NewsPace(std::chrono::milliseconds known_within)
      : known_within(known_within),
        part(std::clamp(known_within / kUsual, kLeastPart, 1.0)) {}

  std::chrono::milliseconds KnownWithin() const { return this->known_within; }

  /// The time in place of the usual one.
  std::chrono::milliseconds Of(std::chrono::milliseconds usual) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(usual *
                                                                 this->part);
  }

 private:
  using Decimal = std::chrono::duration<double, std::milli>;

  static constexpr Decimal kUsual{3000.0};
  /// Ten times the calls, and a watch of 150 ms; shorter ones would spend more
  /// on calls than on packets.
  static constexpr double kLeastPart = 0.1;

  std::chrono::milliseconds known_within;
  double part;
};

}  // namespace sassafrasdyke::core

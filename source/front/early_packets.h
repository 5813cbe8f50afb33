/// Packets that arrive before the instance knows anything.
///
/// After a common restart the routers send to every instance at once, some 50
/// ms before its view is there. Dropping the packets would cost each client its
/// repeat after 200 ms, which is later than most requests may be served.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sassafrasdyke::front {

/// Keeps a few packets for a short while.
class EarlyPackets {
 public:
  /// A packet, and when it came.
  struct Kept {
    std::chrono::milliseconds at{0};
    std::vector<std::uint8_t> bytes;

    friend bool operator==(const Kept&, const Kept&) = default;
  };

  /// Keeps a copy, or drops the packet when there is no room.
  void Keep(std::span<const std::uint8_t> bytes, std::chrono::milliseconds now);
  /// Takes those that are young enough, in the order of their arrival.
  std::vector<Kept> Take(std::chrono::milliseconds now);
  std::size_t Size() const { return this->packets.size(); }

 private:
  std::vector<Kept> packets;
};

}  // namespace sassafrasdyke::front

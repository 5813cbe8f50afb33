#include "front/early_packets.h"

#include <utility>

namespace sassafrasdyke::front {
namespace {

/// The clients of one instance send some 100 packets in 50 ms when all open
/// their flows anew; 256 of 1,232 bytes are 0.3 MB.
constexpr std::size_t kMostPackets = 256;
/// A client repeats a packet after 200 ms; what is older than that has been
/// sent again, perhaps through another instance.
constexpr std::chrono::milliseconds kKept{180};

}  // namespace

void EarlyPackets::Keep(std::span<const std::uint8_t> bytes,
                        std::chrono::milliseconds now) {
  if (this->packets.size() >= kMostPackets) {
    std::erase_if(this->packets,
                  [now](const Kept& kept) { return now - kept.at > kKept; });
  }
  if (this->packets.size() < kMostPackets) {
    this->packets.push_back({now, {bytes.begin(), bytes.end()}});
  }
}

std::vector<EarlyPackets::Kept> EarlyPackets::Take(
    std::chrono::milliseconds now) {
  std::vector<Kept> taken = std::exchange(this->packets, {});
  std::erase_if(taken,
                [now](const Kept& kept) { return now - kept.at > kKept; });
  return taken;
}

}  // namespace sassafrasdyke::front

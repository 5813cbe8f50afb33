/// The clock of the streams, which tests can replace.
#pragma once

#include <chrono>

namespace sassafrasdyke::peer {

/// Tells the time since any fixed moment; never goes back.
class PeerClock {
 public:
  virtual ~PeerClock() = default;
  virtual std::chrono::milliseconds Now() const = 0;
};

/// The system's monotonic clock. The loop's own clock follows the time of day:
/// when that is set back, a budget earns nothing until the old time is reached
/// again, and one would see a peer's messages stop for as long.
class SteadyPeerClock final : public PeerClock {
 public:
  std::chrono::milliseconds Now() const override;

  /// The one for the whole process.
  static const SteadyPeerClock& Shared();
};

}  // namespace sassafrasdyke::peer

#include "peer/peer_clock.h"

namespace sassafrasdyke::peer {

std::chrono::milliseconds SteadyPeerClock::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

const SteadyPeerClock& SteadyPeerClock::Shared() {
  static const SteadyPeerClock clock;
  return clock;
}

}  // namespace sassafrasdyke::peer

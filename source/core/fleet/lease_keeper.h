/// Decides whether this instance holds its lease, the permission to place flows
/// by its current view of the fleet.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "core/configuration.h"
#include "core/fleet_view.h"

namespace sassafrasdyke::core {

/// The lease of one instance. It is renewed by answers of peers and of the
/// platform; answers to requests sent before the last pause of the process
/// don't count.
class LeaseKeeper {
 public:
  /// Must be called first in every call into the fleet. True when the process
  /// was paused since the last call; the lease is then lost at once.
  bool DetectPause(std::chrono::milliseconds now, const FleetPolicy& policy);

  /// A peer answered a heartbeat sent at `asked_at`. `caught_up` is true when
  /// this instance knows everything that the peer knows: its documents are no
  /// older than the peer's and its member reports are the same.
  void OnPeerAnswer(std::chrono::milliseconds asked_at, bool caught_up);

  /// The platform answered.
  void OnPlatformAnswer(std::chrono::milliseconds now);

  /// Computes the lease at `now`; `peers` is the number of other listed
  /// instances.
  Lease Evaluate(std::chrono::milliseconds now, const FleetPolicy& policy,
                 std::size_t peers);

  Lease Current() const { return this->lease; }

  /// True when half of the lease has passed without a renewal, so that further
  /// peers should be contacted.
  bool HalfExpired(std::chrono::milliseconds now,
                   const FleetPolicy& policy) const;

 private:
  bool IsFresh(std::chrono::milliseconds now, const FleetPolicy& policy) const;

  Lease lease{Lease::kStale};
  std::chrono::milliseconds last_call{0};
  bool started{false};
  /// End of the last pause; answers to earlier requests don't count.
  std::chrono::milliseconds resumed_at{0};
  std::optional<std::chrono::milliseconds> renewed_at;
  /// Send time of the first request whose answer showed that this instance is
  /// behind its peers.
  std::optional<std::chrono::milliseconds> behind_since;
  std::chrono::milliseconds silent_since{0};
  bool paused{false};
};

}  // namespace sassafrasdyke::core

/// Decides whether this instance may act on what it knows.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "core/configuration.h"
#include "core/fleet_view.h"

namespace sassafrasdyke::core {

/// The lease of one instance. Only words that answer a question asked after the
/// last pause count as fresh.
class LeaseKeeper {
 public:
  /// To be called first at every entry into the fleet. True when the process
  /// was paused: the lease is gone before anything else is done.
  bool Observe(std::chrono::milliseconds now, const FleetPolicy& policy);

  /// A peer answered a question asked at `asked_at`. `caught_up` says that the
  /// peer's documents are no newer than the ones here.
  void OnPeerWord(std::chrono::milliseconds asked_at, bool caught_up);

  /// The platform answered.
  void OnPlatformWord(std::chrono::milliseconds now);

  /// Forms the lease at `now`; `peers` is how many others are listed.
  Lease Evaluate(std::chrono::milliseconds now, const FleetPolicy& policy,
                 std::size_t peers);

  Lease Current() const { return this->lease; }

  /// True when half of the lease has passed without a fresh word, so that more
  /// peers should be asked.
  bool ShouldAsk(std::chrono::milliseconds now,
                 const FleetPolicy& policy) const;

 private:
  bool Fresh(std::chrono::milliseconds now, const FleetPolicy& policy) const;

  Lease lease{Lease::kStale};
  std::chrono::milliseconds seen{0};
  bool started{false};
  /// Words asked for before this moment are old.
  std::chrono::milliseconds barrier{0};
  std::optional<std::chrono::milliseconds> fresh_at;
  /// First fresh word that came while the documents here were behind.
  std::optional<std::chrono::milliseconds> behind_since;
  std::chrono::milliseconds silent_since{0};
  bool paused{false};
};

}  // namespace sassafrasdyke::core

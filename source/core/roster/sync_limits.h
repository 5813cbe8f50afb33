/// Intervals and limits of the synchronization between instances.
#pragma once

#include <chrono>
#include <cstddef>

#include "core/roster/propagation_scale.h"

namespace sassafrasdyke::core {

/// Intervals and limits of PeerSync and ReadingPlan.
struct SyncLimits {
  /// Instances of a failure domain that read the store. With two, updates go on
  /// without a gap if one dies.
  std::size_t readers{2};
  /// An instance whose view is older than this queries peers. Readers hear from
  /// the store at least every 1.5 s.
  std::chrono::milliseconds query_after{1900};
  /// A follower whose view is older than this reads the store itself. With a
  /// listing of 0.1 s that is well before a change must be in force (3 s).
  std::chrono::milliseconds read_after{2200};
  /// A follower whose view is too old reads the store after a random delay of
  /// up to this time multiplied by the live members of its failure domain. The
  /// first to read notifies the others, so that a domain's calls to an
  /// unreachable store don't grow with its size.
  std::chrono::milliseconds substitute_delay_per_member{100};
  /// Upper bound of the first such delay. Without it, members that died
  /// recently and still count as live could delay a change beyond the time in
  /// which it must be in force.
  std::chrono::milliseconds max_first_substitute_delay{500};
  /// Time between queries while the view is too old.
  std::chrono::milliseconds query_interval{250};
  /// Time between queries while there is no view.
  std::chrono::milliseconds query_interval_without_view{100};
  /// Time between digests that only show that this instance is alive.
  std::chrono::milliseconds heartbeat_interval{1000};
  /// The same while digests carry observations: two ticks of 100 ms, less their
  /// jitter. With one digest a second, of 81 instances in three domains each
  /// would take the others' domains for unreachable a quarter of the time.
  std::chrono::milliseconds observation_interval{180};
  /// Time after its start from which an instance may also query peers. The
  /// store's first answer takes 30 ms.
  std::chrono::milliseconds first_query_after{150};
  /// How long an instance without a view waits for a first digest before it
  /// probes the store (StoreReading::kProbe). Covers two round trips between
  /// failure domains, including processing.
  std::chrono::milliseconds probe_after{25};
  /// Minimum time that an instance without a view waits for a first digest
  /// before it lists the store itself. The maximum is three times as long.
  /// Covers start times that differ by up to 300 ms.
  std::chrono::milliseconds seed_answer_timeout{300};
  /// Minimum time that an instance that is neither a seed nor a reader waits
  /// for a copy before it lists the store itself. The maximum is twice as long.
  /// A seed lists 1,000 targets over a 20 Mbit/s link in 0.3 s.
  std::chrono::milliseconds min_copy_wait{750};
  /// How long a pending copy keeps an instance without a view from listing the
  /// store.
  std::chrono::milliseconds copy_timeout{500};
};

/// The default limits with their intervals scaled.
SyncLimits SyncLimitsFor(const PropagationScale& scale);

}  // namespace sassafrasdyke::core

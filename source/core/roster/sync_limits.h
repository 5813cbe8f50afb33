/// Limits of the exchange between instances.
#pragma once

#include <chrono>
#include <cstddef>

#include "core/roster/news_pace.h"

namespace sassafrasdyke::core {

/// Times and numbers of the exchange.
struct SyncLimits {
  /// Instances of a failure domain that read the store. With two, one that
  /// dies leaves no gap.
  std::size_t readers{2};
  /// A view older than this is asked for elsewhere. Readers hear from the
  /// store at least every 1.5 s.
  std::chrono::milliseconds ask_after{1900};
  /// A follower whose view is older than this reads the store itself. With a
  /// listing of 0.1 s that is well before a change must be in force (3 s).
  std::chrono::milliseconds read_after{2200};
  /// A follower whose view is too old reads the store after a random delay of
  /// up to this time multiplied by the live members of its failure domain. The
  /// first to read tells the others, so that a domain's calls to a store that
  /// is away don't grow with its size.
  std::chrono::milliseconds substitute_delay_per_member{100};
  /// Upper bound of the first such delay. Without it, members that died
  /// recently and still count as live could delay a change beyond the time in
  /// which it must be in force.
  std::chrono::milliseconds max_first_substitute_delay{500};
  /// Pause between questions while the view is too old.
  std::chrono::milliseconds ask_every{250};
  /// Pause between questions while there is no view.
  std::chrono::milliseconds ask_without_view_every{100};
  /// Pause between digests that only keep the roster alive.
  std::chrono::milliseconds greet_every{1000};
  /// A first answer of the store takes 30 ms; who has waited this long asks
  /// its peers as well.
  std::chrono::milliseconds patience{150};
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
  std::chrono::milliseconds leave_listing{750};
  /// How long a pending copy keeps an instance without a view from listing the
  /// store.
  std::chrono::milliseconds copy_timeout{500};
};

/// The limits at a pace.
SyncLimits SyncLimitsFor(const NewsPace& pace);

}  // namespace sassafrasdyke::core

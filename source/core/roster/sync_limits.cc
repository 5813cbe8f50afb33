#include "core/roster/sync_limits.h"

#include <algorithm>

namespace sassafrasdyke::core {

SyncLimits SyncLimitsFor(const PropagationScale& scale) {
  SyncLimits limits;
  limits.query_after = scale.Apply(limits.query_after);
  limits.read_after = scale.Apply(limits.read_after);
  limits.query_interval = scale.Apply(limits.query_interval);
  // Time reserved for two ticks, reading the store and passing the change on to
  // peers.
  constexpr std::chrono::milliseconds kReadAndRelayTime{300};
  // The longest time that a call takes before it is given up.
  constexpr std::chrono::milliseconds kSlowCallTime{2000};
  const auto left = scale.KnownWithin() - limits.read_after - kReadAndRelayTime;
  // A short bound leaves no time for a slow call.
  const auto without_slow_call =
      std::min(left, limits.max_first_substitute_delay);
  limits.max_first_substitute_delay =
      std::max({left - kSlowCallTime, without_slow_call,
                scale.Apply(kReadAndRelayTime)});
  return limits;
}

}  // namespace sassafrasdyke::core

#include "core/roster/sync_limits.h"

#include <algorithm>

namespace sassafrasdyke::core {

SyncLimits SyncLimitsFor(const PropagationScale& scale) {
  SyncLimits limits;
  limits.query_after = scale.Apply(limits.query_after);
  limits.read_after = scale.Apply(limits.read_after);
  limits.query_interval = scale.Apply(limits.query_interval);
  // Time reserved for reading the store and passing the change on to peers.
  constexpr std::chrono::milliseconds kReadAndRelayTime{300};
  limits.max_first_substitute_delay =
      std::max(scale.KnownWithin() - limits.read_after - kReadAndRelayTime,
               scale.Apply(kReadAndRelayTime));
  return limits;
}

}  // namespace sassafrasdyke::core

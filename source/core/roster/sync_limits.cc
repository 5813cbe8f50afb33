#include "core/roster/sync_limits.h"

#include <algorithm>

namespace sassafrasdyke::core {

SyncLimits SyncLimitsFor(const NewsPace& pace) {
  SyncLimits limits;
  limits.ask_after = pace.Of(limits.ask_after);
  limits.read_after = pace.Of(limits.read_after);
  limits.ask_every = pace.Of(limits.ask_every);
  // Time reserved for reading the store and passing the change on to peers.
  constexpr std::chrono::milliseconds kReadAndRelayTime{300};
  limits.max_first_substitute_delay =
      std::max(pace.KnownWithin() - limits.read_after - kReadAndRelayTime,
               pace.Of(kReadAndRelayTime));
  return limits;
}

}  // namespace sassafrasdyke::core

#include "core/fleet/lease_keeper.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Time after a pause in which answers that waited in sockets are read. The
/// platform's answers don't say when their question was asked.
constexpr std::chrono::milliseconds kDrainTime{200};

}  // namespace

bool LeaseKeeper::Observe(std::chrono::milliseconds now,
                          const FleetPolicy& policy) {
  const std::chrono::milliseconds gap = now - this->seen;
  this->seen = now;
  if (!this->started) {
    this->started = true;
    this->silent_since = now;
    return false;
  }
  // The process was stopped, by its host or a debugger, and doesn't know for
  // how long others took it for dead. Its partitions may have new owners; if it
  // went on placing flows, callers' packets would meet two owners. Half the
  // time that peers need for a suspicion is too short for that.
  if (gap <= policy.suspect_after / 2) {
    return false;
  }
  this->lease = Lease::kStale;
  this->barrier = now;
  this->silent_since = now;
  this->fresh_at.reset();
  this->behind_since.reset();
  this->paused = true;
  return true;
}

void LeaseKeeper::OnPeerWord(std::chrono::milliseconds asked_at,
                             bool caught_up) {
  if (asked_at < this->barrier) {
    return;
  }
  if (!caught_up && this->lease != Lease::kHeld) {
    // Acting now would be acting on an old configuration although a newer one
    // is on its way. But a peer that never delivers must not stop this
    // instance for good, so `Evaluate` bounds the wait.
    this->behind_since = this->behind_since.value_or(asked_at);
    return;
  }
  this->behind_since.reset();
  this->fresh_at = std::max(this->fresh_at.value_or(asked_at), asked_at);
}

void LeaseKeeper::OnPlatformWord(std::chrono::milliseconds now) {
  if (this->paused && now - this->barrier <= kDrainTime) {
    return;
  }
  this->behind_since.reset();
  this->fresh_at = now;
}

Lease LeaseKeeper::Evaluate(std::chrono::milliseconds now,
                            const FleetPolicy& policy, std::size_t peers) {
  if (this->behind_since && now - *this->behind_since > policy.lease) {
    this->fresh_at = now;
    this->behind_since.reset();
  }
  if (this->Fresh(now, policy)) {
    this->silent_since = now;
    this->lease = Lease::kHeld;
    return this->lease;
  }
  const bool all_asked = now - this->silent_since > 2 * policy.suspect_after;
  const bool cut_off = (peers == 0 || all_asked) && !this->behind_since;
  this->lease = cut_off ? Lease::kCutOff : Lease::kStale;
  return this->lease;
}

bool LeaseKeeper::ShouldAsk(std::chrono::milliseconds now,
                            const FleetPolicy& policy) const {
  return !this->fresh_at || now - *this->fresh_at > policy.lease / 2;
}

bool LeaseKeeper::Fresh(std::chrono::milliseconds now,
                        const FleetPolicy& policy) const {
  return this->fresh_at && now - *this->fresh_at <= policy.lease;
}

}  // namespace sassafrasdyke::core

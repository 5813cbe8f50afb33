#include "core/fleet/lease_keeper.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// For this long after a pause, platform answers are ignored: they may have
/// waited in socket buffers, and they don't tell when their request was sent.
constexpr std::chrono::milliseconds kDrainTime{200};

}  // namespace

bool LeaseKeeper::DetectPause(std::chrono::milliseconds now,
                              const FleetPolicy& policy) {
  const std::chrono::milliseconds gap = now - this->last_call;
  this->last_call = now;
  if (!this->started) {
    this->started = true;
    this->silent_since = now;
    return false;
  }
  // The process was stopped, by its host or a debugger, and peers may have
  // suspected it meanwhile. Its partitions may have new owners; if it went on
  // placing flows, callers' packets would reach two owners. A gap of up to half
  // of `suspect_after` is too short for a suspicion.
  if (gap <= policy.suspect_after / 2) {
    return false;
  }
  this->lease = Lease::kStale;
  this->resumed_at = now;
  this->silent_since = now;
  this->renewed_at.reset();
  this->behind_since.reset();
  this->paused = true;
  return true;
}

void LeaseKeeper::OnPeerAnswer(std::chrono::milliseconds asked_at,
                               bool caught_up) {
  if (asked_at < this->resumed_at) {
    return;
  }
  if (!caught_up && this->lease != Lease::kHeld) {
    // The lease is not regained before newer documents and reports arrive;
    // otherwise flows would be placed by outdated ones. `Evaluate` bounds the
    // wait, so that a peer that never sends them can't block this instance.
    this->behind_since = this->behind_since.value_or(asked_at);
    return;
  }
  this->behind_since.reset();
  this->renewed_at = std::max(this->renewed_at.value_or(asked_at), asked_at);
}

void LeaseKeeper::OnPlatformAnswer(std::chrono::milliseconds now) {
  if (this->paused && now - this->resumed_at <= kDrainTime) {
    return;
  }
  this->behind_since.reset();
  this->renewed_at = now;
}

Lease LeaseKeeper::Evaluate(std::chrono::milliseconds now,
                            const FleetPolicy& policy, std::size_t peers) {
  if (this->behind_since && now - *this->behind_since > policy.lease) {
    this->renewed_at = now;
    this->behind_since.reset();
  }
  if (this->IsFresh(now, policy)) {
    this->silent_since = now;
    this->lease = Lease::kHeld;
    return this->lease;
  }
  const bool peers_had_time =
      now - this->silent_since > 2 * policy.suspect_after;
  const bool cut_off = (peers == 0 || peers_had_time) && !this->behind_since;
  this->lease = cut_off ? Lease::kCutOff : Lease::kStale;
  return this->lease;
}

bool LeaseKeeper::HalfExpired(std::chrono::milliseconds now,
                              const FleetPolicy& policy) const {
  return !this->renewed_at || now - *this->renewed_at > policy.lease / 2;
}

bool LeaseKeeper::IsFresh(std::chrono::milliseconds now,
                          const FleetPolicy& policy) const {
  return this->renewed_at && now - *this->renewed_at <= policy.lease;
}

}  // namespace sassafrasdyke::core

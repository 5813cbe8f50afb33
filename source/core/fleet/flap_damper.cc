#include "core/fleet/flap_damper.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Keeps the shifted time from overflowing.
constexpr unsigned kMaxDoublings = 16;

}  // namespace

bool FlapDamper::UpdateSuppression(common::InstanceId id, bool suspected,
                                   std::chrono::milliseconds now) {
  if (!suspected && !this->histories.contains(id)) {
    return false;
  }
  History& history = this->histories[id];
  if (suspected) {
    history.suspected = true;
    history.held = true;
    return true;
  }
  if (history.suspected) {
    history.suspected = false;
    history.quiet_since = now;
    ++history.returns;
  }
  const std::chrono::milliseconds quiet = now - history.quiet_since;
  // An intermittent link would otherwise move the same partitions back and
  // forth, and flows stall at each move.
  history.held = history.held && quiet < this->RequiredQuiet(history.returns);
  if (quiet >= this->limits.forgive_after) {
    history.quiet_since = now;
    --history.returns;
  }
  const bool held = history.held;
  if (history.returns == 0) {
    this->histories.erase(id);
  }
  return held;
}

bool FlapDamper::HasHistory() const { return !this->histories.empty(); }

std::chrono::milliseconds FlapDamper::RequiredQuiet(unsigned returns) const {
  const unsigned doublings =
      std::min(returns == 0 ? 0 : returns - 1, kMaxDoublings);
  return std::min(this->limits.longest, this->limits.first * (1U << doublings));
}

}  // namespace sassafrasdyke::core

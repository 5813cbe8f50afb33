#include "core/fleet/flap_damper.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Keeps the doubling inside the range of the type.
constexpr unsigned kMostDoublings = 16;

}  // namespace

bool FlapDamper::Held(common::InstanceId id, bool suspected,
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
  // A link that works every other second would move the same partitions back
  // and forth; users see flows stall at each move.
  history.held = history.held && quiet < this->QuietNeeded(history.returns);
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

bool FlapDamper::Waiting() const { return !this->histories.empty(); }

std::chrono::milliseconds FlapDamper::QuietNeeded(unsigned returns) const {
  const unsigned doublings =
      std::min(returns == 0 ? 0 : returns - 1, kMostDoublings);
  return std::min(this->limits.longest, this->limits.first * (1U << doublings));
}

}  // namespace sassafrasdyke::core

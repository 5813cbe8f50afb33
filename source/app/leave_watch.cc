#include "app/leave_watch.h"

#include <algorithm>

namespace sassafrasdyke::app {

void LeaveWatch::OnLeave(std::chrono::milliseconds now) {
  if (!this->since) {
    this->since = now;
  }
}

std::optional<LeaveEnd> LeaveWatch::Ends(const LeaveProgress& progress,
                                         const core::FleetPolicy& policy,
                                         std::chrono::milliseconds now) const {
  if (!this->since) {
    return std::nullopt;
  }
  if (now - *this->since >= policy.leave_deadline) {
    return LeaveEnd::kDeadline;
  }
  // The quiet time also runs from the order to leave: the platform needs a
  // moment to tell the fabric, which may be about to hand over more packets.
  const std::chrono::milliseconds quiet_since =
      std::max(*this->since, progress.last_packet);
  if (progress.handed_over && now - quiet_since >= policy.leave_quiet) {
    return LeaveEnd::kQuiet;
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::app

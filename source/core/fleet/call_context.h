/// The context of one call into the fleet: its time, and where its results go.
#pragma once

#include <chrono>
#include <utility>

#include "core/fleet/fleet.h"
#include "core/fleet/send_limiter.h"

namespace sassafrasdyke::core {

/// Passed down through one call; not kept after it.
struct CallContext {
  std::chrono::milliseconds now;
  FleetOutbox& outbox;
  SendLimiter& limiter;

  /// Sends or queues `message`; false when the budget dropped it.
  bool Send(common::InstanceId to, PeerMessage message) const {
    return this->limiter.Send({to, std::move(message)}, this->now,
                              this->outbox.messages);
  }
};

}  // namespace sassafrasdyke::core

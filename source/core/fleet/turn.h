/// One call into the fleet: its time, and where its results go.
#pragma once

#include <chrono>
#include <utility>

#include "core/fleet/fleet.h"
#include "core/fleet/send_limiter.h"

namespace sassafrasdyke::core {

/// Lives for one call.
struct Turn {
  std::chrono::milliseconds now;
  FleetOutbox& outbox;
  SendLimiter& limiter;

  /// False when the budget dropped the message.
  bool Send(common::InstanceId to, PeerMessage message) const {
    return this->limiter.Send({to, std::move(message)}, this->now,
                              this->outbox.messages);
  }
};

}  // namespace sassafrasdyke::core

/// When new flows may be opened: at once while targets have room, and in the
/// order that serves most callers in time when they don't.
///
/// It answers the load after a common restart or a cut: the callers of a second
/// or more come back within a tenth of one, while new ones go on to come. Sent
/// on as they come, most of both would be served late or turned away.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/steering/flow_steering.h"
#include "core/steering/held_openings.h"

namespace sassafrasdyke::core {

/// A SYN that has waited, and where its flow may be placed.
struct Released {
  HeldOpening opening;
  OpeningRoom room;
};

/// Times are monotonic, since process start.
class Admission {
 public:
  /// Both must outlive this.
  Admission(const RouteTable& routes, const FlowSteering& steering)
      : routes(routes), steering(steering) {}

  /// Where the flow may be placed that the packet opens. Nothing when it has to
  /// wait; then a copy of it is kept. `came_at`: when it arrived, which is
  /// earlier than `now` when the instance had no view yet.
  std::optional<OpeningRoom> Admit(const FlowPacket& packet,
                                   std::span<const std::uint8_t> bytes,
                                   std::chrono::milliseconds came_at,
                                   std::chrono::milliseconds now);
  /// Takes a SYN that may be sent on now, the most urgent route's first.
  std::optional<Released> TakeNext(std::chrono::milliseconds now);
  void OnTick(std::chrono::milliseconds now);
  /// The process stood still: the clients have repeated what waits here.
  void OnPause() { this->held.Clear(); }

  std::size_t Waiting() const { return this->held.Size(); }

 private:
  /// How long a client of the route may have waited to be served in time yet.
  std::chrono::milliseconds InTime(const Route& route) const;

  const RouteTable& routes;
  const FlowSteering& steering;
  HeldOpenings held;
};

}  // namespace sassafrasdyke::core

#include "core/steering/admission_control.h"

#include <algorithm>

namespace sassafrasdyke::core {

using std::chrono::milliseconds;

std::optional<AdmissionGrant> AdmissionControl::Admit(
    const FlowPacket& packet, std::span<const std::uint8_t> bytes,
    milliseconds arrived_at, milliseconds now) {
  if (!packet.flags.syn || packet.flags.ack) {
    // The flow was opened through another instance that got a copy of the SYN.
    // Forwarding the queued SYN now would open it at a second target.
    this->queue.Forget(packet.flow);
    return AdmissionGrant{};
  }
  const Route* const route = this->routes.Find(packet.flow.service);
  if (route == nullptr || this->steering.IsHalfOpen(packet.flow)) {
    return AdmissionGrant{};
  }
  // While SYNs are queued, new ones join the queue: the order is decided among
  // all of them.
  if (this->queue.Size() == 0) {
    if (auto grant = this->steering.Limiter().GrantFor(*route, now)) {
      return grant;
    }
  }
  // If a SYN flood fills the queue, further SYNs are admitted at once.
  const bool waits = this->queue.Hold(packet, bytes, arrived_at);
  return waits ? std::nullopt : std::make_optional<AdmissionGrant>();
}

std::optional<ReleasedSyn> AdmissionControl::TakeNext(milliseconds now) {
  if (this->queue.Size() == 0) {
    return std::nullopt;
  }
  std::optional<common::Endpoint> best;
  std::uint32_t best_rank = 0;
  AdmissionGrant best_grant;
  for (const common::Endpoint& address : this->queue.Routes()) {
    const Route* const route = this->routes.Find(address);
    const std::uint32_t rank = route == nullptr ? 0 : route->rank;
    if (best && rank >= best_rank) {
      continue;
    }
    // FlowSteering refuses the flow of a route that was withdrawn meanwhile.
    const auto grant = route == nullptr
                           ? std::make_optional<AdmissionGrant>()
                           : this->steering.Limiter().GrantFor(*route, now);
    if (grant) {
      best = address;
      best_rank = rank;
      best_grant = *grant;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  const Route* const route = this->routes.Find(*best);
  const milliseconds in_time =
      route == nullptr ? milliseconds{0} : this->LongestTimelyWait(*route);
  auto syn = this->queue.Take(*best, in_time, now);
  if (!syn) {
    return std::nullopt;  // All that waited have been superseded.
  }
  return ReleasedSyn{std::move(*syn), std::move(best_grant)};
}

void AdmissionControl::OnTick(milliseconds now) { this->queue.Expire(now); }

milliseconds AdmissionControl::LongestTimelyWait(const Route& route) const {
  return std::max(ObjectiveOf(route) - this->steering.Pending().AnswerTime(),
                  milliseconds{0});
}

}  // namespace sassafrasdyke::core

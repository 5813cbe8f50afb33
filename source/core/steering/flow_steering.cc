#include "core/steering/flow_steering.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// A client retransmits a SYN after 200 ms. Copies that arrive closer together
/// than this were queued on the path and are no evidence about the target.
constexpr std::chrono::milliseconds kMinRetransmitInterval{150};
/// Maximum age of a view whose lack of a route is conclusive. Longer than the
/// longest interval between two responses of the store to a pending watch.
constexpr std::chrono::milliseconds kMaxFreshAge{2000};
/// A target without an entry that answered a client within this time is alive
/// and only cut off from the store; one whose entry was removed within this
/// time may still serve its last flows.
constexpr std::chrono::milliseconds kGoneGracePeriod{1000};

/// Whether the packet is a bare ACK, by which a client confirms that data from
/// the target arrived.
bool IsBareAck(const FlowPacket& packet) {
  return packet.flags.ack && packet.payload_bytes == 0 && !packet.flags.fin;
}

}  // namespace

SteeringAction FlowSteering::OnPacket(const FlowPacket& packet,
                                      std::chrono::milliseconds now,
                                      const AdmissionGrant& grant) {
  if (packet.flags.syn && packet.flags.ack) {
    return SilentDrop{SilentDropReason::kNotFromClient};
  }
  if (!this->view.routes.Loaded()) {
    return SilentDrop{SilentDropReason::kNoView};
  }
  if (packet.flags.syn) {
    return this->OnSyn(packet, grant, now);
  }
  const Route* const route = this->view.routes.Find(packet.flow.service);
  if (route == nullptr &&
      this->Evidence({}, now).ViewShowsEnd(this->Sighting(packet.flow))) {
    return Refuse{RefusalReason::kNoRoute};
  }
  return this->OnEstablished(packet, route, now);
}

SteeringAction FlowSteering::OnUnknownRoute(
    std::chrono::milliseconds now) const {
  // The route may have been added while this instance got no updates. A wrong
  // reset would fail the client's attempt; after a silent drop the client
  // retransmits and may reach an instance that knows the route.
  if (!this->ViewIsFresh(now)) {
    return SilentDrop{SilentDropReason::kStaleView};
  }
  return Refuse{RefusalReason::kNoRoute};
}

SteeringAction FlowSteering::OnSyn(const FlowPacket& packet,
                                   const AdmissionGrant& grant,
                                   std::chrono::milliseconds now) {
  this->memory.Forget(packet.flow);
  this->unknown_flows.Forget(packet.flow);
  const Route* const route = this->view.routes.Find(packet.flow.service);
  if (route == nullptr) {
    return this->OnUnknownRoute(now);
  }
  if (HalfOpenFlow* const half_open = this->half_open_flows.Find(packet.flow);
      half_open != nullptr) {
    return this->OnRepeatedSyn(packet, *half_open, *route, now);
  }
  const auto chosen = this->choice.Choose(
      {*route, common::FingerprintOf(packet.flow, 0), {}, grant.domain, now});
  if (!chosen) {
    return this->OnNoTarget(*route, now);
  }
  this->OnPlaced(packet.flow, chosen->target, now);
  this->watch.OnSent(chosen->target, now);
  this->half_open_flows.Add(packet.flow, {chosen->target, now, false});
  return SendToTarget{chosen->target, chosen->reason};
}

void FlowSteering::OnPlaced(const common::FlowKey& flow, TargetIndex target,
                            std::chrono::milliseconds now) {
  this->choice.OnPlaced(target);
  this->warmup.OnPlaced(target, now);
  this->pending.OnPlaced(flow, target, now);
  for (RequestObserver* const observer : this->observers) {
    observer->OnOpening(target, now);
  }
}

void FlowSteering::OnUnanswered(TargetIndex target,
                                std::chrono::milliseconds now) {
  for (RequestObserver* const observer : this->observers) {
    observer->OnUnanswered(target, now);
  }
}

// An instance that started while store entries were lapsed has never seen the
// targets that are about to register again, so it can't tell that none is
// serving.
SteeringAction FlowSteering::OnNoTarget(const Route& route,
                                        std::chrono::milliseconds now) const {
  if (this->limiter.WaitsForColdTargets(route, now)) {
    return SilentDrop{SilentDropReason::kTargetsCold};
  }
  if (this->view.contact.LapseLikely(now) &&
      !this->EveryDomainExcluded(route)) {
    return SilentDrop{SilentDropReason::kStaleView};
  }
  const bool evacuated =
      std::ranges::any_of(route.shares, [this](const ServiceShare& share) {
        return this->view.targets.HasEvacuatedTargets(share.service);
      });
  return Refuse{evacuated ? RefusalReason::kEvacuated
                          : RefusalReason::kNoTarget};
}

bool FlowSteering::EveryDomainExcluded(const Route& route) const {
  const auto& domains = this->view.regions.Domains();
  return !domains.empty() &&
         std::ranges::all_of(domains, [&](const auto& domain) {
           return this->view.targets.IsEvacuated(domain.first) ||
                  !this->view.regions.Allows(route, domain.first);
         });
}

// A crashed target leaves SYNs unanswered until its entry lapses, two to four
// seconds later. Sending the retransmissions there as well would fail the
// attempt after 1.4 s; another target opens the flow 200 ms after the first
// SYN. If the first answer was merely late, both targets answer; the client
// then stays with the one whose answer came first, and the other discards the
// flow. A target of a service that the route no longer uses opens no flow.
SteeringAction FlowSteering::OnRepeatedSyn(const FlowPacket& packet,
                                           HalfOpenFlow& half_open,
                                           const Route& route,
                                           std::chrono::milliseconds now) {
  const TargetEntry& former = this->view.targets.At(half_open.target);
  const bool accepts = this->view.targets.AcceptsFlows(half_open.target) &&
                       route.Uses(former.published.service);
  const bool is_retransmission =
      now - half_open.sent_at >= kMinRetransmitInterval;
  if (accepts && (!is_retransmission || half_open.retried)) {
    return SendToTarget{half_open.target, SteeringReason::kRepeated};
  }
  if (is_retransmission) {
    this->watch.OnSynUnanswered(half_open.target, now);
    this->OnUnanswered(half_open.target, now);
  }
  const auto chosen =
      this->choice.Choose({route,
                           common::FingerprintOf(packet.flow, 0),
                           half_open.target,
                           {},
                           now});
  if (!chosen) {
    return this->OnNoTarget(route, now);
  }
  this->OnPlaced(packet.flow, chosen->target, now);
  half_open = {chosen->target, now, true};
  return SendToTarget{chosen->target, SteeringReason::kRetried};
}

// Another instance may have opened the flow on a route that this one hasn't
// learnt of, or has seen withdrawn before (`route` is null then). The word
// shows that it has.
SteeringAction FlowSteering::OnEstablished(const FlowPacket& packet,
                                           const Route* route,
                                           std::chrono::milliseconds now) {
  const auto index = this->view.targets.IndexOf(packet.word);
  if (!index) {
    return this->OnUnknownTarget(packet, now);
  }
  const TargetEntry& target = this->view.targets.At(*index);
  // A recently started instance knows only the newest configuration, while
  // flows placed under an older one are still open, so it accepts the word of
  // any known target.
  const bool knows_old_routes = now > this->view.routes.FlowLife();
  if (route != nullptr && knows_old_routes &&
      !route->MayUse(target.published.service, now)) {
    return SilentDrop{SilentDropReason::kOtherService};
  }
  // A client that acknowledges new data has received it from the target. In a
  // large domain one instance sees few of a target's flows, and a client may
  // acknowledge an answer only with its next request; without comparing
  // acknowledgement numbers that request would look like an unanswered
  // retransmission and cost a probe.
  const auto opened_at = this->half_open_flows.Finish(packet.flow);
  const FlowProgress progress = this->memory.OnForwarded(packet, *index, now);
  if (opened_at == index) {
    this->memory.OnOpenedHere(packet.flow);
  }
  this->TrackRequests(packet, route, *index, progress, now);
  if (opened_at || progress.answered || IsBareAck(packet)) {
    this->watch.OnAnswered(*index, now);
  }
  if (target.phase == TargetPhase::kGone) {
    return this->OnGoneTarget(packet, *index, target, now);
  }
  if (packet.payload_bytes > 0) {
    if (this->watch.Silent(*index) &&
        this->Evidence(index, now).ProbesShowEnd(this->Sighting(packet.flow))) {
      return Refuse{RefusalReason::kTargetSilent, *index};
    }
    this->watch.OnSent(*index, now);
  }
  return SendToTarget{*index, SteeringReason::kCarried};
}

void FlowSteering::TrackRequests(const FlowPacket& packet, const Route* route,
                                 TargetIndex target,
                                 const FlowProgress& progress,
                                 std::chrono::milliseconds now) {
  if (packet.flags.fin || packet.flags.rst) {
    this->pending.OnEnd(packet.flow);
    if (progress.shows_failure) {
      for (RequestObserver* const observer : this->observers) {
        observer->OnClientReset(target, now);
      }
    }
    return;
  }
  if (progress.answered) {
    const auto timing =
        this->pending.OnAnswer(packet.flow, packet.payload_bytes == 0, now);
    if (timing) {
      const PublishedTarget& from = this->view.targets.At(target).published;
      this->answer_times.OnAnswer(from.service, from.domain == this->domain,
                                  *timing, now);
      if (route != nullptr) {
        this->limiter.OnAnswer(target, *route, *timing, now);
      }
      for (RequestObserver* const observer : this->observers) {
        observer->OnAnswer(target, *timing, now);
      }
    }
  }
  if (progress.requests) {
    const bool opens = this->pending.OnRequest(packet.flow, target, now);
    for (RequestObserver* const observer : this->observers) {
      if (!opens) {
        observer->OnRequest(target, now);
      }
    }
  } else if (progress.shows_failure) {
    this->OnUnanswered(target, now);
  }
}

// Handles a packet of an established flow whose target is no longer published.
// If the target has ended, nothing will ever answer the flow; a reset lets the
// client reconnect at once instead of waiting for its deadline. A target that
// only lost its registration still answers, as its clients' acknowledgements or
// a probe show, and keeps its flows. So does one whose address another entry
// claims, if it has answered since: that entry is the outdated one. A flow that
// may be younger than the view may be at a later start of the target.
SteeringAction FlowSteering::OnGoneTarget(const FlowPacket& packet,
                                          TargetIndex index,
                                          const TargetEntry& target,
                                          std::chrono::milliseconds now) {
  const std::chrono::milliseconds answered = this->watch.LastAnswered(index);
  const bool answered_since = answered > target.gone_at;
  const bool may_serve =
      (answered_since || !target.replaced) &&
      now - std::max(answered, target.gone_at) <= kGoneGracePeriod;
  const bool may_be_younger =
      !this->Evidence({}, now).ViewShowsEnd(this->Sighting(packet.flow));
  if (may_serve || may_be_younger || packet.payload_bytes == 0) {
    return SendToTarget{index, SteeringReason::kCarried};
  }
  return Refuse{RefusalReason::kTargetGone, index};
}

// Another instance may already use a target that this one hasn't learnt of, so
// the packet is first dropped, and the client retransmits it.
SteeringAction FlowSteering::OnUnknownTarget(const FlowPacket& packet,
                                             std::chrono::milliseconds now) {
  if (this->view.contact.LapseLikely(now)) {
    this->unknown_flows.Forget(packet.flow);
    return SilentDrop{SilentDropReason::kUnknownTarget};
  }
  const bool ended = this->Evidence({}, now).ViewShowsEnd(
      this->unknown_flows.Sighting(packet.flow));
  this->unknown_flows.OnPacket(packet.flow, now);
  if (!ended || packet.payload_bytes == 0) {
    return SilentDrop{SilentDropReason::kUnknownTarget};
  }
  return Refuse{RefusalReason::kTargetGone};
}

std::vector<FlowPacket> FlowSteering::TakeEndedFlows(
    TargetIndex target, std::chrono::milliseconds now) {
  if (!this->view.targets.Has(target)) {
    return {};
  }
  const bool gone = this->view.targets.At(target).phase == TargetPhase::kGone;
  const EndEvidence evidence = this->Evidence(target, now);
  return this->memory.Take(target, [&](const FlowSighting& flow) {
    return evidence.ProbesShowEnd(flow) ||
           (gone && evidence.ViewShowsEnd(flow));
  });
}

std::optional<FlowSighting> FlowSteering::Sighting(
    const common::FlowKey& flow) const {
  const auto carried = this->memory.Sighting(flow);
  return carried ? carried : this->unknown_flows.Sighting(flow);
}

EndEvidence FlowSteering::Evidence(std::optional<TargetIndex> target,
                                   std::chrono::milliseconds now) const {
  const auto age = this->view.contact.Age(now);
  return {age ? std::make_optional(now - *age) : std::nullopt,
          target ? this->watch.SilentAsOf(*target) : std::nullopt};
}

bool FlowSteering::ViewIsFresh(std::chrono::milliseconds now) const {
  const auto age = this->view.contact.Age(now);
  return age && *age <= kMaxFreshAge;
}

void FlowSteering::OnTick(std::chrono::milliseconds now) {
  this->half_open_flows.Expire(now);
  this->memory.Expire(now);
  this->pending.Expire(now);
  this->unknown_flows.Expire(now - this->view.routes.FlowLife());
}

}  // namespace sassafrasdyke::core

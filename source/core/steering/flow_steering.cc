#include "core/steering/flow_steering.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// A client repeats a SYN after 200 ms. Copies closer together than this have
/// waited on the way, and say nothing about the target.
constexpr std::chrono::milliseconds kRepeatIsReal{150};
/// A view this old or younger is believed when it lacks a route. Longer than
/// the longest pause between two answers of the store to a waiting watch.
constexpr std::chrono::milliseconds kFreshView{2000};
/// A view that was confirmed this long after a word was met, and lacks it, has
/// no such target. Whoever placed the flow knew the target before the word was
/// met; the rest covers what stores and peers take to pass it on.
constexpr std::chrono::milliseconds kNewsTakes{500};
/// A target whose entry was removed, but that answered a client this lately, is
/// alive behind a cut; one whose entry was removed this lately may still serve
/// its last flows.
constexpr std::chrono::milliseconds kSignOfLife{1000};
/// Unknown words remembered at most; forged ones must not take memory.
constexpr std::size_t kMostUnknown = 256;

/// A packet by which a client confirms that something of the target's arrived.
bool ShowsLife(const FlowPacket& packet) {
  return packet.flags.ack && packet.payload_bytes == 0 && !packet.flags.fin;
}

}  // namespace

SteeringAction FlowSteering::OnPacket(const FlowPacket& packet,
                                      std::chrono::milliseconds now,
                                      const OpeningRoom& room) {
  if (packet.flags.syn && packet.flags.ack) {
    return StaySilent{SilenceReason::kNotAClients};
  }
  if (!this->view.routes.Loaded()) {
    return StaySilent{SilenceReason::kNoView};
  }
  if (packet.flags.syn) {
    return this->OnSyn(packet, room, now);
  }
  const Route* const route = this->view.routes.Find(packet.flow.service);
  if (route == nullptr) {
    return this->OnUnknownRoute(now);
  }
  return this->OnCarried(packet, *route, now);
}

SteeringAction FlowSteering::OnUnknownRoute(
    std::chrono::milliseconds now) const {
  // A route that was added while this instance heard nothing is not unknown.
  // A wrong reset would fail the client's attempt; silence lets it repeat, and
  // perhaps reach an instance that knows.
  if (!this->ViewIsFresh(now)) {
    return StaySilent{SilenceReason::kStaleView};
  }
  return Refuse{RefusalReason::kNoRoute};
}

SteeringAction FlowSteering::OnSyn(const FlowPacket& packet,
                                   const OpeningRoom& room,
                                   std::chrono::milliseconds now) {
  const Route* const route = this->view.routes.Find(packet.flow.service);
  if (route == nullptr) {
    return this->OnUnknownRoute(now);
  }
  if (Opening* const opening = this->openings.Find(packet.flow);
      opening != nullptr) {
    return this->OnRepeatedSyn(packet, *opening, *route, now);
  }
  const auto chosen = this->choice.Choose(
      {*route, common::FingerprintOf(packet.flow, 0), {}, room.domain, now});
  if (!chosen) {
    return this->OnNoTarget(now);
  }
  this->choice.OnPlaced(chosen->target);
  this->watch.OnSent(chosen->target, now);
  this->openings.Add(packet.flow, {chosen->target, now, false});
  this->pending.OnPlaced(packet.flow, chosen->target, now);
  return SendToTarget{chosen->target, chosen->reason};
}

// An instance that started while entries were lapsed has never seen the targets
// that will register again in a moment. It can't know that nobody serves.
SteeringAction FlowSteering::OnNoTarget(std::chrono::milliseconds now) const {
  if (this->view.contact.LapseLikely(now)) {
    return StaySilent{SilenceReason::kStaleView};
  }
  return Refuse{RefusalReason::kNoTarget};
}

// A target that died without a word swallows SYNs until its entry lapses, two
// to four seconds later. Sending the copies there as well would fail each
// attempt after 1.4 s; another target opens the flow 200 ms after the first
// SYN. Both may answer if the first answer was merely late; the client then
// stays with the one whose answer came first, and the other forgets the flow.
SteeringAction FlowSteering::OnRepeatedSyn(const FlowPacket& packet,
                                           Opening& opening, const Route& route,
                                           std::chrono::milliseconds now) {
  const bool serving =
      this->view.targets.At(opening.target).phase == TargetPhase::kServing;
  const bool real = now - opening.sent_at >= kRepeatIsReal;
  if (serving && (!real || opening.retried)) {
    return SendToTarget{opening.target, SteeringReason::kRepeated};
  }
  if (real) {
    this->watch.OnMissed(opening.target, now);
  }
  const auto chosen = this->choice.Choose(
      {route, common::FingerprintOf(packet.flow, 0), opening.target, {}, now});
  if (!chosen) {
    return this->OnNoTarget(now);
  }
  this->choice.OnPlaced(chosen->target);
  opening = {chosen->target, now, true};
  this->pending.OnPlaced(packet.flow, chosen->target, now);
  return SendToTarget{chosen->target, SteeringReason::kRetried};
}

SteeringAction FlowSteering::OnCarried(const FlowPacket& packet,
                                       const Route& route,
                                       std::chrono::milliseconds now) {
  const auto index = this->view.targets.IndexOf(packet.word);
  if (!index) {
    return this->OnUnknownWord(packet, now);
  }
  const TargetEntry& target = this->view.targets.At(*index);
  // An instance that started a moment ago knows only the newest configuration;
  // flows that an older one placed are still open, so it believes the word.
  const bool knows_former = now > this->view.routes.FlowLife();
  if (knows_former && !route.MayUse(target.published.service, now)) {
    return StaySilent{SilenceReason::kOtherService};
  }
  // A client that acknowledges something new has heard from the target. Few of
  // a target's flows pass through one instance of a large domain, and a client
  // may leave an answer unacknowledged until its next request; without a look
  // at the numbers that would seem an unanswered repeat, and cost a trial
  // connection.
  const bool opened = this->openings.Finish(packet.flow).has_value();
  const CarriedNews news = this->memory.OnCarried(packet, *index, now);
  this->NotePending(packet, route, *index, news, now);
  if (opened || news.answered || ShowsLife(packet)) {
    this->watch.OnAnswered(*index, now);
  }
  if (target.phase == TargetPhase::kGone) {
    return this->OnGoneTarget(packet, *index, target, now);
  }
  if (packet.payload_bytes > 0) {
    if (this->watch.Silent(*index)) {
      return Refuse{RefusalReason::kTargetSilent, *index};
    }
    this->watch.OnSent(*index, now);
  }
  return SendToTarget{*index, SteeringReason::kCarried};
}

void FlowSteering::NotePending(const FlowPacket& packet, const Route& route,
                               TargetIndex target, const CarriedNews& news,
                               std::chrono::milliseconds now) {
  if (packet.flags.fin || packet.flags.rst) {
    this->pending.OnEnd(packet.flow);
    return;
  }
  if (news.answered) {
    const auto timing =
        this->pending.OnAnswer(packet.flow, packet.payload_bytes == 0, now);
    if (timing) {
      const PublishedTarget& from = this->view.targets.At(target).published;
      this->answer_times.OnAnswer(from.service, from.domain == this->domain,
                                  *timing, now);
      this->gate.OnAnswer(target, route, *timing, now);
    }
  }
  if (news.requests) {
    this->pending.OnRequest(packet.flow, target, now);
  }
}

// The target of an established flow has ended, and nobody will ever answer it.
// A client that isn't told waits until its own deadline; a reset lets it come
// back at once. A target that only lost its registration still answers: its
// clients' acknowledgements or a trial connection show that, and it keeps its
// flows.
SteeringAction FlowSteering::OnGoneTarget(const FlowPacket& packet,
                                          TargetIndex index,
                                          const TargetEntry& target,
                                          std::chrono::milliseconds now) {
  const std::chrono::milliseconds answered = this->watch.LastAnswered(index);
  const bool lives = !target.replaced &&
                     now - std::max(answered, target.gone_at) <= kSignOfLife;
  if (lives || packet.payload_bytes == 0) {
    return SendToTarget{index, SteeringReason::kCarried};
  }
  return Refuse{RefusalReason::kTargetGone, index};
}

// Another instance may already use a target that this one hasn't heard of, so
// an unknown word is first waited for: the client repeats its packet. Only when
// a view that was confirmed since then still lacks it, the target has ended.
// How old the view is says too little: a new target may be in use elsewhere
// while the last confirmation is a second old.
SteeringAction FlowSteering::OnUnknownWord(const FlowPacket& packet,
                                           std::chrono::milliseconds now) {
  if (this->view.contact.LapseLikely(now)) {
    this->unknown.erase(packet.word);
    return StaySilent{SilenceReason::kUnknownTarget};
  }
  const bool room = this->unknown.size() < kMostUnknown;
  const auto found = this->unknown.find(packet.word);
  if (found == this->unknown.end()) {
    if (room) {
      this->unknown.emplace(packet.word, now);
    }
    return StaySilent{SilenceReason::kUnknownTarget};
  }
  const auto age = this->view.contact.Age(now);
  const bool confirmed = age && now - *age >= found->second + kNewsTakes;
  if (!confirmed || packet.payload_bytes == 0) {
    return StaySilent{SilenceReason::kUnknownTarget};
  }
  return Refuse{RefusalReason::kTargetGone};
}

bool FlowSteering::ViewIsFresh(std::chrono::milliseconds now) const {
  const auto age = this->view.contact.Age(now);
  return age && *age <= kFreshView;
}

void FlowSteering::OnTick(std::chrono::milliseconds now) {
  this->openings.Expire(now);
  this->memory.Expire(now);
  this->pending.Expire(now);
  std::erase_if(this->unknown, [&](const auto& entry) {
    return this->view.targets.Find(entry.first) != nullptr ||
           now - entry.second > this->view.routes.FlowLife();
  });
}

}  // namespace sassafrasdyke::core

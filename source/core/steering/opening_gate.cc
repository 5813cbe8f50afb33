#include "core/steering/opening_gate.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// The least limit before any answer, to what one target works on at once: as
/// much again may wait there.
constexpr double kFirstTargets = 2.0;
/// The same, in requests, for targets of another failure domain, which every
/// instance of the fleet may turn to at once: the least that tells anything.
constexpr double kFirstElsewhere = 1.0;
/// The limit never falls below this, so that answers go on telling when there
/// is room again.
constexpr double kLeastLimit = 1.0;
/// Late answers below this part of all come from work that is long by itself,
/// or from targets that are slow; fewer requests for all targets mend neither.
constexpr double kFewLate = 0.65;
/// A round has this many answers, or as many as the limit if that is less. Of
/// fewer, some that are long by themselves would seem congestion.
constexpr double kEnoughAnswers = 16.0;
/// What is left of the limit when all answers were late.
constexpr double kAfterAllLate = 0.3;
/// The part of the limit at which congestion began; from there on it grows
/// slowly.
constexpr double kCarefulFrom = 0.5;
/// A limit that isn't used to this part says nothing of what would fit.
constexpr double kUsed = 0.5;
/// The part of the objective that an answer may take. The rest is for the way,
/// the opening of the flow, and the wait of those that are held back.
constexpr double kPartForTarget = 0.5;

/// By how much each answer lets the quickest one count less, so that a service
/// whose requests have become longer is believed after some hundred answers.
constexpr double kQuickestForgets = 1.003;
/// Answers up to this many times the quickest are no sign of congestion: work
/// varies, and a route may ask for less than its targets can do on an idle day.
/// Its flows must not be held back for that.
constexpr double kTimesQuickest = 6.0;
/// Answers before the quickest is believed. Right after a common restart none
/// is quick, and what takes long would seem usual.
constexpr unsigned kBelieved = 100;

/// The service that gets most of the route's flows.
const std::string& MainService(const Route& route) {
  return std::ranges::max_element(route.shares, {}, &ServiceShare::weight)
      ->service;
}

}  // namespace

void OpeningGate::OnAnswer(TargetIndex target, const Route& route,
                           const AnswerTiming& timing,
                           std::chrono::milliseconds now) {
  const PublishedTarget& published = this->targets.At(target).published;
  Limit limit = this->LimitOf(published.service, published.domain);
  const double enough = std::min(kEnoughAnswers, limit.requests);
  if (timing.sent_at >= limit.round.since && limit.round.answers >= enough) {
    Shrink(limit);
    limit.round = {now, 0, 0};
  }
  ++limit.round.answers;
  if (TakesTooLong(limit, route, timing)) {
    ++limit.round.late;
  } else {
    const auto pending = this->PendingByDomain(published.service, now);
    const auto here = pending.find(published.domain);
    const bool used =
        here != pending.end() && here->second + 1 >= limit.requests * kUsed;
    // One for each answer doubles the limit with every answer time, one for
    // each limit's worth of answers only feels its way.
    const double step =
        limit.requests >= limit.careful_from ? 1.0 / limit.requests : 1.0;
    limit.requests += used ? step : 0.0;
  }
  this->limits[published.service].insert_or_assign(published.domain, limit);
}

void OpeningGate::Shrink(Limit& limit) {
  const Round& round = limit.round;
  const double late = static_cast<double>(round.late) / round.answers;
  const bool lasts = std::exchange(limit.congested, late >= kFewLate);
  if (!limit.congested) {
    return;
  }
  if (!lasts) {
    limit.careful_from = limit.requests * kCarefulFrom;
  }
  limit.requests = std::max(
      kLeastLimit, limit.requests * (1.0 - late * (1.0 - kAfterAllLate)));
}

bool OpeningGate::TakesTooLong(Limit& limit, const Route& route,
                               const AnswerTiming& timing) {
  const auto at_target_ms = static_cast<double>(timing.AtTarget().count());
  const double quickest = limit.quickest_ms == 0
                              ? at_target_ms
                              : limit.quickest_ms * kQuickestForgets;
  limit.quickest_ms = std::min(at_target_ms, quickest);
  ++limit.answers;
  const double usual =
      limit.answers > kBelieved ? limit.quickest_ms * kTimesQuickest : 0.0;
  const auto left_ms =
      static_cast<double>((ObjectiveOf(route) - timing.Way()).count());
  return at_target_ms > std::max(left_ms * kPartForTarget, usual);
}

std::optional<OpeningRoom> OpeningGate::RoomFor(
    const Route& route, std::chrono::milliseconds now) const {
  const std::string& service = MainService(route);
  const auto pending = this->PendingByDomain(service, now);
  if (pending.empty() || !this->pending.MostAreSeen()) {
    return OpeningRoom{};
  }
  std::optional<OpeningRoom> room;
  double least_used = 1.0;
  for (const auto& [domain, requests] : pending) {
    const double used = requests / this->LimitOf(service, domain).requests;
    if (used >= 1.0) {
      continue;
    }
    if (domain == this->domain) {
      return OpeningRoom{};
    }
    if (used < least_used) {
      least_used = used;
      room = OpeningRoom{domain};
    }
  }
  return room;
}

OpeningGate::Limit OpeningGate::LimitOf(const std::string& service,
                                        const std::string& domain) const {
  if (const auto limits = this->limits.find(service);
      limits != this->limits.end()) {
    if (const auto limit = limits->second.find(domain);
        limit != limits->second.end()) {
      return limit->second;
    }
  }
  return {domain == this->domain ? this->FirstLimit(service) : kFirstElsewhere};
}

double OpeningGate::FirstLimit(const std::string& service) const {
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  const auto local = serving.find(this->domain);
  if (local == serving.end()) {
    return kLeastLimit;
  }
  double all = 0;
  double largest = 0;
  for (const TargetIndex index : local->second) {
    const auto slots =
        static_cast<double>(this->targets.At(index).published.slots);
    all += slots;
    largest = std::max(largest, slots);
  }
  return std::max(all, kFirstTargets * largest);
}

// Requests at a target that swallows SYNs or has fallen silent wait for nobody,
// and must not keep flows from those that serve. Few of thousands of targets
// have requests of one instance, so only these are looked at.
std::map<std::string, double> OpeningGate::PendingByDomain(
    const std::string& service, std::chrono::milliseconds now) const {
  const auto usable = [this, now](TargetIndex index) {
    return !this->watch.Suspected(index, now);
  };
  std::map<std::string, double> pending;
  for (const auto& [domain, indexes] : this->targets.ServingByDomain(service)) {
    if (std::ranges::any_of(indexes, usable)) {
      pending.emplace(domain, 0.0);
    }
  }
  for (const auto& [index, count] : this->pending.Counts()) {
    if (!this->targets.Has(index) || !usable(index)) {
      continue;
    }
    const TargetEntry& entry = this->targets.At(index);
    const auto domain = pending.find(entry.published.domain);
    if (entry.phase == TargetPhase::kServing &&
        entry.published.service == service && domain != pending.end()) {
      domain->second += static_cast<double>(count);
    }
  }
  return pending;
}

}  // namespace sassafrasdyke::core

#include "core/steering/concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Minimum initial limit, as a multiple of one target's slots: as many requests
/// again may wait in its queue.
constexpr double kInitialSlotsFactor = 2.0;
/// Standard deviations of the number of an instance's requests that its initial
/// limit leaves room for. The number varies like a Poisson variable, so an
/// instance of even load exceeds three of them once in some 700 flows.
constexpr double kShareDeviations = 3.0;
/// Utilization up to which a domain accepts flows of others; the rest is for
/// the variation of its own.
constexpr double kMaxOfferedUtilization = 0.8;
/// Initial limit, in requests, of another failure domain, to which every
/// instance of the fleet may turn at once: the least that yields any answer
/// times.
constexpr double kInitialRemoteLimit = 1.0;
/// The limit never falls below this, so that answers keep showing when there is
/// capacity again.
constexpr double kMinLimit = 1.0;
/// Fraction of late answers from which a round is congested. Fewer come from
/// requests that take long anyway, or from slow targets; a lower limit for all
/// targets helps with neither.
constexpr double kCongestedLateShare = 0.65;
/// A round has this many answers, or as many as the limit if that is less.
/// Among fewer, a few requests that take long anyway would look like
/// congestion.
constexpr double kAnswersPerRound = 16.0;
/// Decrease factor of the limit when all answers of a round were late.
constexpr double kAllLateDecrease = 0.3;
/// Slow start threshold, as a fraction of the limit at which congestion began.
constexpr double kSlowStartFraction = 0.5;
/// Utilization from which the limit grows: answers under a less used limit show
/// nothing about the capacity.
constexpr double kMinUtilization = 0.5;
/// Fraction of the objective that a target may take for an answer. The rest is
/// for the network, the handshake and the time in the SYN queue.
constexpr double kTargetTimeShare = 0.5;

/// Factor by which each answer raises the minimum, so that it follows a service
/// whose requests have become longer within some hundred answers.
constexpr double kMinimumGrowth = 1.003;
/// Answers up to this multiple of the minimum are no sign of congestion: work
/// varies, and a route's objective may be shorter than its targets can meet
/// even when idle. Its flows must not be held back for that.
constexpr double kNormalTimeFactor = 6.0;
/// Answers before the minimum is used. Right after a restart of the fleet none
/// is quick, and long times would seem normal.
constexpr unsigned kMinAnswers = 100;

}  // namespace

void ConcurrencyLimiter::OnAnswer(TargetIndex target, const Route& route,
                                  const AnswerTiming& timing,
                                  std::chrono::milliseconds now) {
  const PublishedTarget& published = this->targets.At(target).published;
  Limit limit = this->LimitOf(published.service, published.domain);
  this->FollowInstances(limit, published);
  const double needed = std::min(kAnswersPerRound, limit.requests);
  if (timing.sent_at >= limit.round.since && limit.round.answers >= needed) {
    EndRound(limit);
    limit.round = {now, 0, 0};
  }
  ++limit.round.answers;
  if (RecordAnswer(limit, route, timing)) {
    ++limit.round.late;
  } else {
    const auto pending = this->PendingByDomain(published.service, now);
    const auto here = pending.find(published.domain);
    const bool used = here != pending.end() &&
                      here->second + 1 >= limit.requests * kMinUtilization;
    // Slow start adds one for each answer, which doubles the limit with every
    // answer time; past the threshold it adds one for each limit's worth of
    // answers.
    const double step = limit.requests >= limit.slow_start_threshold
                            ? 1.0 / limit.requests
                            : 1.0;
    limit.requests += used ? step : 0.0;
  }
  this->limits[published.service].insert_or_assign(published.domain, limit);
}

void ConcurrencyLimiter::FollowInstances(Limit& limit,
                                         const PublishedTarget& target) const {
  const std::size_t instances = this->SharingInstances();
  const std::size_t before = std::exchange(limit.instances, instances);
  if (before == instances || limit.WasCongested()) {
    return;
  }
  const double initial =
      this->InitialLimit(target.service, target.domain, instances);
  const double change = initial - std::exchange(limit.initial, initial);
  limit.requests = std::max(kMinLimit, limit.requests + change);
}

void ConcurrencyLimiter::EndRound(Limit& limit) {
  const Round& round = limit.round;
  const double late = static_cast<double>(round.late) / round.answers;
  const bool was_congested =
      std::exchange(limit.congested, late >= kCongestedLateShare);
  if (!limit.congested) {
    return;
  }
  if (!was_congested) {
    limit.slow_start_threshold = limit.requests * kSlowStartFraction;
  }
  limit.requests = std::max(
      kMinLimit, limit.requests * (1.0 - late * (1.0 - kAllLateDecrease)));
}

bool ConcurrencyLimiter::RecordAnswer(Limit& limit, const Route& route,
                                      const AnswerTiming& timing) {
  const auto at_target_ms = static_cast<double>(timing.TimeAtTarget().count());
  const double min_ms = limit.min_target_ms == 0
                            ? at_target_ms
                            : limit.min_target_ms * kMinimumGrowth;
  limit.min_target_ms = std::min(at_target_ms, min_ms);
  ++limit.answers;
  const double normal_ms = limit.answers > kMinAnswers
                               ? limit.min_target_ms * kNormalTimeFactor
                               : 0.0;
  const auto budget_ms =
      static_cast<double>((ObjectiveOf(route) - timing.NetworkTime()).count());
  return at_target_ms > std::max(budget_ms * kTargetTimeShare, normal_ms);
}

std::optional<AdmissionGrant> ConcurrencyLimiter::GrantFor(
    const Route& route, std::chrono::milliseconds now) const {
  const std::string& service = MainServiceOf(route);
  auto pending = this->PendingByDomain(service, now);
  std::erase_if(pending, [&](const auto& domain) {
    return !this->regions.Allows(route, domain.first);
  });
  if (pending.empty() && this->WaitsForColdTargets(route, now)) {
    return std::nullopt;
  }
  if (pending.empty() || !this->pending.MostAnswersSeen()) {
    return AdmissionGrant{};
  }
  if (const auto own = pending.find(this->domain);
      own != pending.end() &&
      own->second < this->LimitOf(service, this->domain).requests) {
    return AdmissionGrant{};
  }
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  std::optional<AdmissionGrant> grant;
  double least_utilization = 1.0;
  for (const auto& [domain, requests] : pending) {
    if (domain == this->domain || !this->MayUse(service, domain, pending)) {
      continue;
    }
    const auto load = std::ranges::find(loads, domain, &DomainLoad::domain);
    const double limit = load != loads.end()
                             ? this->RemoteLimit(service, *load)
                             : this->LimitOf(service, domain).requests;
    const double used = requests / limit;
    if (used < least_utilization) {
      least_utilization = used;
      grant = AdmissionGrant{domain};
    }
  }
  return grant;
}

bool ConcurrencyLimiter::MayUse(const std::string& service,
                                const std::string& domain,
                                const PendingRequestsByDomain& pending) const {
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  return IsReachable(loads, domain) ||
         std::ranges::none_of(pending, [&](const auto& other) {
           return IsReachable(loads, other.first);
         });
}

double ConcurrencyLimiter::PartOfHeadroom(const std::string& service,
                                          const DomainLoad& other) const {
  std::size_t instances = this->SharingInstances();
  if (instances == 0) {
    return 0;
  }
  // For a second after a start the instance knows of no other one, but may have
  // the reports of those.
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  if (const auto own =
          std::ranges::find(loads, this->domain, &DomainLoad::domain);
      own != loads.end()) {
    instances = std::max(instances, own->reporters);
  }
  const double offered =
      this->SlotsOf(service, other.domain).all * kMaxOfferedUtilization;
  return std::max(0.0, offered - other.concurrency) /
         static_cast<double>(instances);
}

bool ConcurrencyLimiter::WaitsForColdTargets(
    const Route& route, std::chrono::milliseconds now) const {
  return std::ranges::any_of(route.shares, [&](const ServiceShare& share) {
    const auto& domains = this->targets.ServingByDomain(share.service);
    return std::ranges::any_of(domains, [&](const auto& domain) {
      return this->regions.Allows(route, domain.first) &&
             std::ranges::any_of(domain.second, [&](TargetIndex index) {
               return !this->warmup.Allows(index, now);
             });
    });
  });
}

ConcurrencyLimiter::Limit ConcurrencyLimiter::LimitOf(
    const std::string& service, const std::string& domain) const {
  if (const auto limits = this->limits.find(service);
      limits != this->limits.end()) {
    if (const auto found = limits->second.find(domain);
        found != limits->second.end()) {
      return found->second;
    }
  }
  const std::size_t instances = this->SharingInstances();
  const double initial = this->InitialLimit(service, domain, instances);
  return {initial, initial, instances};
}

double ConcurrencyLimiter::RemoteLimit(const std::string& service,
                                       const DomainLoad& other) const {
  const Limit limit = this->LimitOf(service, other.domain);
  return limit.congested
             ? limit.requests
             : std::max(limit.requests, this->PartOfHeadroom(service, other));
}

ConcurrencyLimiter::Slots ConcurrencyLimiter::SlotsOf(
    const std::string& service, const std::string& domain) const {
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  Slots slots;
  if (const auto found = serving.find(domain); found != serving.end()) {
    for (const TargetIndex index : found->second) {
      const auto count =
          static_cast<double>(this->targets.At(index).published.slots);
      slots.all += count;
      slots.largest = std::max(slots.largest, count);
    }
  }
  return slots;
}

double ConcurrencyLimiter::InitialLimit(const std::string& service,
                                        const std::string& domain,
                                        std::size_t instances) const {
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  const bool has_local = serving.contains(this->domain);
  if (!serving.contains(domain) || (has_local && domain != this->domain)) {
    return kInitialRemoteLimit;
  }
  const Slots slots = this->SlotsOf(service, domain);
  const double parts = has_local ? 1.0 : static_cast<double>(serving.size());
  const double least = kInitialSlotsFactor * slots.largest;
  const double most = std::max(slots.all, least) / parts;
  if (instances == 0) {
    return most;
  }
  const double share = slots.all / parts / static_cast<double>(instances);
  return std::min(most,
                  std::max(share + kShareDeviations * std::sqrt(share), least));
}

bool ConcurrencyLimiter::Usable(TargetIndex index,
                                std::chrono::milliseconds now) const {
  return !this->watch.Suspected(index, now) && this->warmup.Allows(index, now);
}

// Requests at a suspected or silent target won't be answered and must not keep
// flows from the targets that serve. Few of thousands of targets have requests
// of one instance, so only these are visited.
ConcurrencyLimiter::PendingRequestsByDomain ConcurrencyLimiter::PendingByDomain(
    const std::string& service, std::chrono::milliseconds now) const {
  const auto usable = [this, now](TargetIndex index) {
    return this->Usable(index, now);
  };
  PendingRequestsByDomain pending;
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
    if (this->targets.AcceptsFlows(index) &&
        entry.published.service == service && domain != pending.end()) {
      domain->second += static_cast<double>(count);
    }
  }
  return pending;
}

}  // namespace sassafrasdyke::core

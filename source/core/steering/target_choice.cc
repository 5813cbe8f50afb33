#include "core/steering/target_choice.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "common/hash.h"
#include "core/load/demand.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kShareSalt = 0x7368617265ULL;

/// A domain whose targets have this many requests per slot, queued ones
/// included, takes no flows that leave another.
constexpr double kFullUtilization = 0.9;

/// A failure domain with less than this fraction of its fair share of a
/// service's usable targets spills some new flows. Few targets can't be divided
/// evenly: with four targets in three domains, a domain with one of them has
/// three quarters of its fair share, and keeps its flows.
constexpr double kMinLocalRatio = 0.6;

constexpr std::uint64_t kSpillSalt = 0x7370696C6CULL;
constexpr std::uint64_t kLocalitySalt = 0x6C6F63616CULL;

/// Flows leave their domain because of its load only while the additional
/// network time is at most this fraction of the route's objective.
constexpr int kMaxDetourFraction = 4;

/// Maps the flow to a uniform value in [0, 1), the same for a retransmitted
/// SYN.
double UniformFromHash(common::Fingerprint flow, std::uint64_t salt) {
  constexpr unsigned kDroppedBits = 11;
  constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53
  const std::uint64_t hash = common::HashNumbers(flow.value, 0, salt);
  return static_cast<double>(hash >> kDroppedBits) * kUnit;
}

/// Index of the service that the flow's hash selects, by weight. The same on
/// every instance, so that a retransmitted SYN stays with its service.
std::size_t ServiceIndexOf(const Route& route, common::Fingerprint flow) {
  const std::uint64_t hash = common::HashNumbers(flow.value, 0, kShareSalt);
  std::uint64_t remaining =
      hash % std::max<std::uint64_t>(route.total_weight, 1);
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    if (remaining < route.shares[i].weight) {
      return i;
    }
    remaining -= route.shares[i].weight;
  }
  return 0;
}

/// Numbers of a service's usable targets in and outside of one failure domain,
/// and of domains.
struct UsableCounts {
  std::size_t local;
  std::size_t remote;
  std::size_t domains;
};

/// Ratio of the domain's targets to its fair share, the mean per domain.
double FairShareRatio(const UsableCounts& share) {
  const double fair = static_cast<double>(share.local + share.remote) /
                      static_cast<double>(share.domains);
  return static_cast<double>(share.local) / fair;
}

// A failure domain that has lost most of its targets would send the load of the
// whole domain to the one that is left, which would shed requests while targets
// elsewhere idle. Each domain has about as many clients, so the fraction of new
// flows that exceeds the domain's share of the targets spills.
bool ShouldSpill(const UsableCounts& share, common::Fingerprint flow) {
  if (share.remote == 0) {
    return false;
  }
  const double ratio = FairShareRatio(share);
  return ratio < kMinLocalRatio && UniformFromHash(flow, kSpillSalt) >= ratio;
}

}  // namespace

std::optional<Choice> TargetChoice::Choose(const ChoiceQuery& query) const {
  const std::size_t first = ServiceIndexOf(query.route, query.flow);
  const std::size_t count = query.route.shares.size();
  // The route allows any of its services; a flow whose selected service has no
  // target left is better served by another than refused.
  for (std::size_t i = 0; i < count; ++i) {
    const ServiceShare& share = query.route.shares[(first + i) % count];
    if (const auto choice = this->ChooseOf(share.service, query)) {
      return choice;
    }
  }
  return std::nullopt;
}

bool TargetChoice::Usable(TargetIndex index, const ChoiceQuery& query) const {
  return query.excluded != index && !this->watch.Suspected(index, query.now) &&
         this->weights.WeightOf(index) > 0 &&
         this->warmup.Allows(index, query.now);
}

double TargetChoice::WeightedSlotsOf(TargetIndex index) const {
  const double slots = std::max(this->targets.At(index).published.slots, 1U);
  const double weight = this->weights.WeightOf(index);
  return weight > 0 ? slots * weight : slots;
}

TargetChoice::DomainList TargetChoice::AllowedDomains(
    const std::string& service, const Route& route) const {
  DomainList allowed;
  for (const auto& domain : this->targets.ServingByDomain(service)) {
    if (this->regions.Allows(route, domain.first)) {
      allowed.push_back(&domain);
    }
  }
  return allowed;
}

std::vector<TargetIndex> TargetChoice::UsableIn(
    const DomainList& domains, const std::string& domain,
    const ChoiceQuery& query) const {
  std::vector<TargetIndex> usable;
  const auto found = std::ranges::find(domains, domain,
                                       [](const auto* d) { return d->first; });
  if (found != domains.end()) {
    std::ranges::copy_if(
        (*found)->second, std::back_inserter(usable),
        [&](TargetIndex index) { return this->Usable(index, query); });
  }
  return usable;
}

double TargetChoice::SlotsOf(const std::vector<TargetIndex>& indexes) const {
  double slots = 0;
  for (const TargetIndex index : indexes) {
    slots += static_cast<double>(this->targets.At(index).published.slots);
  }
  return slots;
}

std::optional<Choice> TargetChoice::ChooseOf(const std::string& service,
                                             const ChoiceQuery& query) const {
  const DomainList domains = this->AllowedDomains(service, query.route);
  const std::string& preferred =
      query.preferred_domain ? *query.preferred_domain : this->domain;
  const std::vector<TargetIndex> local =
      this->UsableIn(domains, preferred, query);
  if (!local.empty() && query.preferred_domain) {
    return Choice{this->ChooseIn(local, query),
                  this->ReasonToLeave(SteeringReason::kRelieved)};
  }
  if (const auto cold = this->ColdOf(local, query.now); !cold.empty()) {
    return Choice{this->LeastLoaded(cold, query), SteeringReason::kLocal};
  }
  // A SYN that a target of another domain left unanswered is retried as without
  // load reports: that domain may be cut off and not yet known to be.
  if (!query.preferred_domain && !query.excluded) {
    if (const auto choice =
            this->ChooseByLoad(service, domains, local, query)) {
      return choice;
    }
  }
  // Fast path of most flows, which skips the targets of other domains: no more
  // of those are usable than serving, so the domain's ratio is at least this.
  std::size_t remote_serving = 0;
  for (const auto* const domain : domains) {
    remote_serving += domain->first == preferred ? 0 : domain->second.size();
  }
  const UsableCounts at_least{local.size(), remote_serving, domains.size()};
  if (!local.empty() && FairShareRatio(at_least) >= kMinLocalRatio) {
    return Choice{this->LeastLoaded(local, query), SteeringReason::kLocal};
  }
  return this->ChooseOfAll(service, domains, preferred, local, query);
}

DomainCapacity TargetChoice::CapacityOf(
    const std::string& domain, const std::vector<TargetIndex>& usable,
    const std::vector<DomainLoad>& loads) const {
  const double slots = this->SlotsOf(usable);
  return {domain, slots, DemandOf(domain, slots, loads)};
}

std::optional<Choice> TargetChoice::ChooseByLoad(
    const std::string& service, const DomainList& domains,
    const std::vector<TargetIndex>& local, const ChoiceQuery& query) const {
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  const DomainCapacity own = this->CapacityOf(this->domain, local, loads);
  if (!this->locality.MayShare(own)) {
    return std::nullopt;
  }
  LocalityDecision decision{this->domain};
  if (local.empty() || !this->DetourTooLong(service, query)) {
    decision = this->locality.Select(
        this->LocalityQueryFor(own, loads, domains, query));
  }
  if (decision.reason == LocalityReason::kShared) {
    const SteeringReason reason =
        local.empty() ? SteeringReason::kSpilled : SteeringReason::kShared;
    const auto usable = this->UsableIn(domains, decision.domain, query);
    return Choice{this->ChooseIn(usable, query), this->ReasonToLeave(reason)};
  }
  // The rule for few local targets applies to flows that stay: while the whole
  // fleet is overloaded, it divides them evenly.
  return std::nullopt;
}

LocalityQuery TargetChoice::LocalityQueryFor(
    const DomainCapacity& own, const std::vector<DomainLoad>& loads,
    const DomainList& domains, const ChoiceQuery& query) const {
  LocalityQuery result{
      this->domain, {own}, UniformFromHash(query.flow, kLocalitySalt)};
  for (const DomainLoad& other : loads) {
    if (other.domain != this->domain &&
        this->regions.Allows(query.route, other.domain)) {
      const auto usable = this->UsableIn(domains, other.domain, query);
      result.domains.push_back(this->CapacityOf(other.domain, usable, loads));
      // Demand leaves out SYNs that are held back, so a domain that works on
      // as many requests as it can may seem to have capacity.
      result.domains.back().reachable =
          other.reachable &&
          other.concurrency < kFullUtilization * result.domains.back().slots;
    }
  }
  std::ranges::sort(result.domains, {}, &DomainCapacity::domain);
  return result;
}

bool TargetChoice::DetourTooLong(const std::string& service,
                                 const ChoiceQuery& query) const {
  const auto detour = this->answer_times.RemoteDetour(service, query.now);
  return detour && *detour > ObjectiveOf(query.route) / kMaxDetourFraction;
}

std::optional<Choice> TargetChoice::ChooseOfAll(
    const std::string& service, const DomainList& domains,
    const std::string& preferred, const std::vector<TargetIndex>& local,
    const ChoiceQuery& query) const {
  std::vector<TargetIndex> remote;
  std::vector<TargetIndex> unreachable;
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  std::vector<TargetIndex> suspected;
  for (const auto* const domain : domains) {
    const bool reachable = IsReachable(loads, domain->first);
    for (const TargetIndex index : domain->second) {
      if (!this->Usable(index, query)) {
        if (this->warmup.Allows(index, query.now)) {
          suspected.push_back(index);
        }
      } else if (domain->first != preferred) {
        (reachable ? remote : unreachable).push_back(index);
      }
    }
  }
  if (remote.empty()) {
    remote.swap(unreachable);
  }
  // While the few local targets suffice, spilling would only add network time.
  // Where that matters little, flows spill anyway: by the time that answers
  // show a queue, hundreds of requests may wait in it.
  const UsableCounts share{local.size(), remote.size(), domains.size()};
  const bool stays_local =
      !ShouldSpill(share, query.flow) ||
      this->answer_times.RemoteDetourCostsMore(service, query.now);
  if (!local.empty() && stays_local) {
    return Choice{this->LeastLoaded(local, query), SteeringReason::kLocal};
  }
  if (!remote.empty()) {
    return Choice{this->LeastLoaded(remote, query),
                  this->ReasonToLeave(SteeringReason::kSpilled)};
  }
  if (!suspected.empty()) {
    return Choice{this->LeastSuspected(suspected), SteeringReason::kSuspected};
  }
  return std::nullopt;
}

SteeringReason TargetChoice::ReasonToLeave(SteeringReason reason) const {
  return this->targets.IsEvacuated(this->domain) ? SteeringReason::kEvacuated
                                                 : reason;
}

std::vector<TargetIndex> TargetChoice::ColdOf(
    const std::vector<TargetIndex>& usable,
    std::chrono::milliseconds now) const {
  std::vector<TargetIndex> cold;
  std::ranges::copy_if(
      usable, std::back_inserter(cold),
      [&](TargetIndex index) { return this->warmup.Limits(index, now); });
  return cold;
}

// A cold target that may get a flow now gets this one. Its turns are so few
// that it would otherwise miss most of them and stay idle until it is warm.
TargetIndex TargetChoice::ChooseIn(const std::vector<TargetIndex>& usable,
                                   const ChoiceQuery& query) const {
  const std::vector<TargetIndex> cold = this->ColdOf(usable, query.now);
  return this->LeastLoaded(cold.empty() ? usable : cold, query);
}

TargetIndex TargetChoice::LeastLoaded(const std::vector<TargetIndex>& options,
                                      const ChoiceQuery& query) const {
  TargetIndex best = options.front();
  std::size_t least_waiting = 0;
  double least_tag = 0;
  std::uint64_t least_hash = 0;
  for (const TargetIndex index : options) {
    const PublishedTarget& target = this->targets.At(index).published;
    const double start_tag = this->scheduler.StartTag(
        index, target.service, this->WeightedSlotsOf(index));
    const std::size_t waiting = this->pending.UnansweredAt(index);
    // Ties are broken by the flow's hash: instances that start together would
    // otherwise all begin with the same target.
    const std::uint64_t hash =
        common::HashNumbers(query.flow.value, target.number.value, kShareSalt);
    const bool first = index == options.front();
    if (first || std::tie(waiting, start_tag, hash) <
                     std::tie(least_waiting, least_tag, least_hash)) {
      best = index;
      least_waiting = waiting;
      least_tag = start_tag;
      least_hash = hash;
    }
  }
  return best;
}

void TargetChoice::OnPlaced(TargetIndex target) {
  const PublishedTarget& placed = this->targets.At(target).published;
  this->scheduler.OnPlaced(target, placed.service,
                           this->WeightedSlotsOf(target));
}

TargetIndex TargetChoice::LeastSuspected(
    const std::vector<TargetIndex>& options) const {
  // The target whose last failure is longest ago is the likeliest to have
  // recovered.
  return *std::min_element(options.begin(), options.end(),
                           [this](TargetIndex a, TargetIndex b) {
                             return this->watch.LastUnansweredSyn(a) <
                                    this->watch.LastUnansweredSyn(b);
                           });
}

}  // namespace sassafrasdyke::core

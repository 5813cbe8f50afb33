#include "core/steering/target_choice.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kShareSalt = 0x7368617265ULL;

/// A failure domain with less than this fraction of its fair share of a
/// service's usable targets spills some new flows. Few targets can't be divided
/// evenly: with four targets in three domains, a domain with one of them has
/// three quarters of its fair share, and keeps its flows.
constexpr double kMinLocalRatio = 0.6;

constexpr std::uint64_t kSpillSalt = 0x7370696C6CULL;

/// Maps the flow to a uniform value in [0, 1), the same for a retransmitted
/// SYN.
double UniformFromHash(common::Fingerprint flow) {
  constexpr unsigned kDroppedBits = 11;
  constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53
  const std::uint64_t hash = common::HashNumbers(flow.value, 0, kSpillSalt);
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
  return ratio < kMinLocalRatio && UniformFromHash(flow) >= ratio;
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

double TargetChoice::CapacityOf(TargetIndex index) const {
  const double slots = std::max(this->targets.At(index).published.slots, 1U);
  const double weight = this->weights.WeightOf(index);
  return weight > 0 ? slots * weight : slots;
}

std::optional<Choice> TargetChoice::ChooseOf(const std::string& service,
                                             const ChoiceQuery& query) const {
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  std::vector<TargetIndex> local;
  std::size_t remote_serving = 0;
  std::size_t domains = 0;
  const std::string& preferred =
      query.preferred_domain ? *query.preferred_domain : this->domain;
  for (const auto& [domain, indexes] : serving) {
    if (!this->regions.Allows(query.route, domain)) {
      continue;
    }
    ++domains;
    if (domain != preferred) {
      remote_serving += indexes.size();
      continue;
    }
    std::ranges::copy_if(
        indexes, std::back_inserter(local),
        [&](TargetIndex index) { return this->Usable(index, query); });
  }
  // A cold target that may get a flow now gets this one. Its turns are so few
  // that it would otherwise miss most of them and stay idle until it is warm.
  if (const auto cold = this->ColdOf(local, query.now); !cold.empty()) {
    return Choice{this->LeastLoaded(cold, query),
                  query.preferred_domain
                      ? this->ReasonToLeave(SteeringReason::kRelieved)
                      : SteeringReason::kLocal};
  }
  if (!local.empty() && query.preferred_domain) {
    return Choice{this->LeastLoaded(local, query),
                  this->ReasonToLeave(SteeringReason::kRelieved)};
  }
  // Fast path of most flows, which skips the targets of other domains: no more
  // of those are usable than serving, so the domain's ratio is at least this.
  const UsableCounts at_least{local.size(), remote_serving, domains};
  if (!local.empty() && FairShareRatio(at_least) >= kMinLocalRatio) {
    return Choice{this->LeastLoaded(local, query), SteeringReason::kLocal};
  }
  return this->ChooseOfAll(service, local, query);
}

std::optional<Choice> TargetChoice::ChooseOfAll(
    const std::string& service, const std::vector<TargetIndex>& local,
    const ChoiceQuery& query) const {
  std::vector<TargetIndex> remote;
  std::vector<TargetIndex> suspected;
  const ServingTargets& serving = this->targets.ServingByDomain(service);
  const std::string& preferred =
      query.preferred_domain ? *query.preferred_domain : this->domain;
  std::size_t domains = 0;
  for (const auto& [domain, indexes] : serving) {
    if (!this->regions.Allows(query.route, domain)) {
      continue;
    }
    ++domains;
    const bool is_local = domain == preferred;
    for (const TargetIndex index : indexes) {
      if (!this->Usable(index, query)) {
        if (this->warmup.Allows(index, query.now)) {
          suspected.push_back(index);
        }
      } else if (!is_local) {
        remote.push_back(index);
      }
    }
  }
  // While the few local targets suffice, spilling would only add network time.
  // Where that matters little, flows spill anyway: by the time that answers
  // show a queue, hundreds of requests may wait in it.
  const UsableCounts share{local.size(), remote.size(), domains};
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

TargetIndex TargetChoice::LeastLoaded(const std::vector<TargetIndex>& options,
                                      const ChoiceQuery& query) const {
  TargetIndex best = options.front();
  std::size_t least_waiting = 0;
  double least_tag = 0;
  std::uint64_t least_hash = 0;
  for (const TargetIndex index : options) {
    const PublishedTarget& target = this->targets.At(index).published;
    const double start_tag = this->scheduler.StartTag(index, target.service,
                                                      this->CapacityOf(index));
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
  this->scheduler.OnPlaced(target, placed.service, this->CapacityOf(target));
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

#include "core/steering/spillover_locality.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

/// A domain accepts load only up to this much below the utilization that the
/// sender's callers would cause at home: the network time of a detour doesn't
/// pay for less.
constexpr double kMinGap = 0.2;

/// Whether the domain's load and capacity count.
bool IsKnown(const DomainCapacity& domain) {
  return domain.reachable && domain.demand.has_value();
}

/// Demand of all known domains as a fraction of their slots.
double FleetUtilization(const std::vector<DomainCapacity>& domains) {
  double demand = 0;
  double slots = 0;
  for (const DomainCapacity& domain : domains) {
    if (IsKnown(domain)) {
      demand += *domain.demand;
      slots += domain.slots;
    }
  }
  return slots > 0 ? demand / slots : 0;
}

/// A second uniform value from the first one's lower digits. It doesn't depend
/// on the probability to leave, so that a retransmitted SYN keeps its domain
/// when new reports have changed that.
double LowerDigits(double draw) {
  constexpr double kScale = 65536.0;
  const double scaled = draw * kScale;
  return scaled - std::floor(scaled);
}

}  // namespace

bool SpilloverLocality::MayShare(const DomainCapacity& own) const {
  return UtilizationOf(own) > this->leave_at;
}

double SpilloverLocality::ExcessOf(const DomainCapacity& domain,
                                   double fleet) const {
  if (!IsKnown(domain)) {
    return 0;
  }
  const double utilization = UtilizationOf(domain);
  return utilization > this->leave_at
             ? *domain.demand * (1 - this->KeptFraction(utilization, fleet))
             : 0;
}

double SpilloverLocality::SpareOf(const DomainCapacity& to,
                                  const DomainCapacity& from,
                                  double fleet) const {
  if (!IsKnown(to) || to.domain == from.domain) {
    return 0;
  }
  const double level =
      std::min(this->AcceptsUpTo(fleet), UtilizationOf(from) - kMinGap);
  return std::max(0.0, level * to.slots - *to.demand);
}

bool SpilloverLocality::Crowded(const LocalityQuery& query,
                                double fleet) const {
  double slots = 0;
  double excess = 0;
  double highest = 0;
  for (const DomainCapacity& domain : query.domains) {
    excess += this->ExcessOf(domain, fleet);
    if (IsKnown(domain) && domain.slots > 0) {
      slots += domain.slots;
      highest = std::max(highest, UtilizationOf(domain));
    }
  }
  return slots > 0 && highest + excess / slots > this->leave_at;
}

LocalityDecision SpilloverLocality::Select(const LocalityQuery& query) const {
  LocalityDecision stay{query.own_domain, LocalityReason::kOwn};
  const auto own = std::ranges::find(query.domains, query.own_domain,
                                     &DomainCapacity::domain);
  if (own == query.domains.end() || !this->MayShare(*own)) {
    return stay;
  }
  const double fleet = FleetUtilization(query.domains);
  const double excess = this->ExcessOf(*own, fleet);
  if (excess <= 0 || (own->slots <= 0 && !this->Crowded(query, fleet))) {
    return stay;
  }
  double all_excess = 0;
  double all_spare = 0;
  for (const DomainCapacity& domain : query.domains) {
    all_excess += this->ExcessOf(domain, fleet);
    all_spare += this->SpareOf(domain, *own, fleet);
  }
  // Domains that spill over at once share what the others accept.
  const double moved = std::min(excess, all_spare * excess / all_excess);
  if (query.draw * *own->demand >= moved) {
    return stay;
  }
  double position = LowerDigits(query.draw) * all_spare;
  for (const DomainCapacity& domain : query.domains) {
    const double spare = this->SpareOf(domain, *own, fleet);
    if (position < spare) {
      return {domain.domain, LocalityReason::kShared};
    }
    position -= spare;
  }
  return stay;
}

}  // namespace sassafrasdyke::core

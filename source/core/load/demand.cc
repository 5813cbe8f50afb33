#include "core/load/demand.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Domains with a smaller fraction of the requests of the busiest one don't
/// count: the mean time of few requests is unreliable.
constexpr double kMinRateRatio = 0.05;

/// Least mean time at the targets of any domain, queueing included, in s; 0
/// while no answer has shown one.
double LeastTime(const std::vector<DomainLoad>& loads) {
  double busiest = 0;
  for (const DomainLoad& load : loads) {
    busiest = std::max(busiest, load.requests_per_s);
  }
  std::optional<double> least;
  for (const DomainLoad& load : loads) {
    if (load.concurrency > 0 &&
        load.requests_per_s >= busiest * kMinRateRatio) {
      const double time = load.concurrency / load.requests_per_s;
      least = std::min(least.value_or(time), time);
    }
  }
  return least.value_or(0);
}

}  // namespace

std::optional<double> DemandOf(const std::string& domain, double slots,
                               const std::vector<DomainLoad>& loads) {
  const auto load = std::ranges::find(loads, domain, &DomainLoad::domain);
  if (load == loads.end() || !load->callers_requests_per_s) {
    return std::nullopt;
  }
  const double own_time =
      load->requests_per_s > 0
          ? std::min(load->concurrency, slots) / load->requests_per_s
          : 0;
  return *load->callers_requests_per_s * std::max(own_time, LeastTime(loads));
}

}  // namespace sassafrasdyke::core

#include "core/load/demand.h"

#include <algorithm>
#include <limits>

namespace sassafrasdyke::core {
namespace {

/// Least mean time at the targets of any domain, queueing included, in s; 0
/// while there are no requests.
double LeastTime(const std::vector<DomainLoad>& loads) {
  double least = std::numeric_limits<double>::infinity();
  for (const DomainLoad& load : loads) {
    if (load.requests_per_s > 0) {
      least = std::min(least, load.concurrency / load.requests_per_s);
    }
  }
  return least == std::numeric_limits<double>::infinity() ? 0 : least;
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

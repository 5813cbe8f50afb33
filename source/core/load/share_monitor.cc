#include "core/load/share_monitor.h"

#include <algorithm>
#include <set>

#include "core/load/demand.h"

namespace sassafrasdyke::core {
namespace {

/// Fraction of the bound below which a service is no longer over its share:
/// reports vary by about a tenth from tick to tick.
constexpr double kBackBelow = 0.8;

}  // namespace

std::vector<ShareChange> ShareMonitor::OnTick() {
  const std::vector<std::string> serving = this->targets.ServingServices();
  std::set<std::string> services(this->over.begin(), this->over.end());
  services.insert(serving.begin(), serving.end());
  std::vector<ShareChange> changes;
  for (const std::string& service : services) {
    ShareChange state = this->StateOf(service);
    const bool is_over = this->IsOver(state);
    if (is_over == state.over) {
      continue;
    }
    state.over = is_over;
    if (is_over) {
      this->over.insert(service);
    } else {
      this->over.erase(service);
    }
    changes.push_back(std::move(state));
  }
  return changes;
}

ShareChange ShareMonitor::StateOf(const std::string& service) const {
  ShareChange state{this->domain, service, this->over.contains(service)};
  const auto& domains = this->targets.ServingByDomain(service);
  if (const auto found = domains.find(this->domain); found != domains.end()) {
    for (const TargetIndex index : found->second) {
      state.slots +=
          static_cast<double>(this->targets.At(index).published.slots);
    }
  }
  const std::vector<DomainLoad>& loads = this->load.Of(service);
  const auto own = std::ranges::find(loads, this->domain, &DomainLoad::domain);
  if (own != loads.end()) {
    state.demand = DemandOf(this->domain, state.slots, loads).value_or(0);
    state.concurrency = own->concurrency;
    state.age = own->age;
    state.reporters = own->reporters;
  }
  return state;
}

bool ShareMonitor::IsOver(const ShareChange& state) const {
  const double bound =
      this->leave_at * state.slots * (state.over ? kBackBelow : 1.0);
  return state.demand > bound;
}

}  // namespace sassafrasdyke::core

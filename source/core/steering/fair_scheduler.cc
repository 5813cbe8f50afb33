#include "core/steering/fair_scheduler.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

template <typename Map, typename Key>
double ValueOr0(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? 0.0 : found->second;
}

}  // namespace

double FairScheduler::StartTag(TargetIndex target, const std::string& service,
                               double capacity) const {
  const double virtual_time = ValueOr0(this->virtual_times, service);
  const auto last = this->start_tags.find(target);
  return last == this->start_tags.end()
             ? virtual_time
             : std::max(last->second + 1.0 / capacity, virtual_time);
}

void FairScheduler::OnPlaced(TargetIndex target, const std::string& service,
                             double capacity) {
  const double start_tag = this->StartTag(target, service, capacity);
  this->virtual_times[service] = start_tag;
  this->start_tags[target] = start_tag;
}

}  // namespace sassafrasdyke::core

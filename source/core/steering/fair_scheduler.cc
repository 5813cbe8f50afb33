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

double FairScheduler::StartTag(TargetIndex target,
                               const std::string& service) const {
  return std::max(ValueOr0(this->finish_tags, target),
                  ValueOr0(this->virtual_times, service));
}

void FairScheduler::OnPlaced(TargetIndex target, const std::string& service,
                             std::uint32_t slots) {
  const double start_tag = this->StartTag(target, service);
  this->virtual_times[service] = start_tag;
  this->finish_tags[target] = start_tag + 1.0 / std::max(slots, 1U);
}

}  // namespace sassafrasdyke::core

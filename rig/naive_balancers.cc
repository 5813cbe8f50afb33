#include "rig/naive_balancers.h"

#include <vector>

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint64_t kSeed = 1;

}  // namespace

void NaiveBalancers::SetTarget(common::TargetId target,
                               const common::Endpoint& address, bool serving) {
  this->targets[target] = Target{address, serving};
}

void NaiveBalancers::RemoveTarget(common::TargetId target) {
  this->targets.erase(target);
}

void NaiveBalancers::SetRunning(common::InstanceId instance, bool running) {
  this->instances[instance].running = running;
}

std::optional<common::TargetId> NaiveBalancers::Choose(
    common::InstanceId instance, const Segment& segment) {
  Instance& state = this->instances[instance];
  if (!state.running) {
    return std::nullopt;
  }
  const auto found = state.table.find(segment.flow);
  if (found != state.table.end() && this->targets.contains(found->second)) {
    return found->second;
  }
  const auto target = this->ByHash(segment.flow);
  if (target) {
    state.table.insert_or_assign(segment.flow, *target);
  }
  return target;
}

std::optional<common::TargetId> NaiveBalancers::ByHash(
    const common::FlowKey& flow) const {
  std::vector<common::TargetId> usable;
  for (const auto& [id, target] : this->targets) {
    if (target.serving && target.address == flow.service) {
      usable.push_back(id);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto hash = common::FingerprintOf(flow, kSeed).value;
  return usable[hash % usable.size()];
}

}  // namespace sassafrasdyke::rig

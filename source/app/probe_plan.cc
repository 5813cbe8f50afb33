#include "app/probe_plan.h"

#include <algorithm>
#include <cstddef>

#include "common/hash.h"

namespace sassafrasdyke::app {
namespace {

/// Keeps the choice apart from the others that hash the same ids.
constexpr std::uint64_t kProbeSalt = 0x70726F6265ULL;

std::uint64_t Score(common::TargetId target, common::InstanceId instance) {
  return common::HashNumbers(target.value, instance.value, kProbeSalt);
}

/// The instances of this domain that may own, this one included.
std::vector<common::InstanceId> ProbersOf(const core::FleetView& view) {
  std::vector<common::InstanceId> probers;
  for (const core::InstanceView& instance : view.instances) {
    if (instance.domain == view.domain &&
        instance.use == core::InstanceUse::kOwner) {
      probers.push_back(instance.id);
    }
  }
  return probers;
}

bool IsMine(common::TargetId target, common::InstanceId self,
            const std::vector<common::InstanceId>& probers) {
  const std::uint64_t mine = Score(target, self);
  const auto before = std::ranges::count_if(
      probers,
      [&](common::InstanceId other) { return Score(target, other) > mine; });
  return static_cast<std::size_t>(before) < kProbersPerTarget;
}

}  // namespace

std::vector<clients::ProbedTarget> PlanProbes(
    const core::Configuration& configuration, const core::FleetView& view) {
  const std::vector<common::InstanceId> probers = ProbersOf(view);
  std::vector<clients::ProbedTarget> plan;
  if (std::ranges::find(probers, view.self) == probers.end()) {
    return plan;
  }
  for (const core::Target& target : configuration.targets) {
    const bool local = target.domain == view.domain;
    if (local && target.health.port != 0 &&
        IsMine(target.id, view.self, probers)) {
      plan.push_back({target.id, target.health});
    }
  }
  return plan;
}

}  // namespace sassafrasdyke::app

#include "core/model/scenarios.h"

#include <algorithm>

#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kFirstTarget = kTargetsPerServiceLimit + 1;
constexpr std::uint32_t kTargetsOfSecondService = 4;
constexpr std::chrono::milliseconds kWarmUp = 20s;
constexpr std::chrono::milliseconds kSettleTime = 20s;

std::function<void(Configuration&)> SetState(std::uint32_t target,
                                             TargetState state) {
  return [target, state](Configuration& next) {
    TargetOf(next, target).state = state;
  };
}

void AddTarget(Configuration& next) {
  Target target = TargetOf(next, kFirstTarget);
  const std::uint32_t last = std::count_if(
      next.targets.begin(), next.targets.end(),
      [](const Target& other) { return other.service.value == 1; });
  target.id = {kFirstTarget + last};
  target.tunnel.port = 7000;
  next.targets.push_back(target);
  std::sort(next.targets.begin(), next.targets.end(),
            [](const Target& a, const Target& b) { return a.id < b.id; });
}

void TargetChange(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Publish(SetState(kFirstTarget, TargetState::kDraining));
  Traffic(fleet, callers, load, 10s);
  fleet.Publish(AddTarget);
  Traffic(fleet, callers, load, 10s);
  fleet.Publish(SetState(kFirstTarget, TargetState::kServing));
  Traffic(fleet, callers, load, kSettleTime);
}

void WeightChange(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Publish(
      [](Configuration& next) { TargetOf(next, kFirstTarget).weight = 20; });
  Traffic(fleet, callers, load, 10s);
  fleet.Publish(
      [](Configuration& next) { TargetOf(next, kFirstTarget).weight = 300; });
  Traffic(fleet, callers, load, kSettleTime);
}

void InstanceReplacement(SmallFleet& fleet, Callers& callers,
                         const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Leave({1});
  Traffic(fleet, callers, load, 1s);
  fleet.Join({1});
  Traffic(fleet, callers, load, kSettleTime);
  fleet.Leave({2});
  Traffic(fleet, callers, load, 1s);
  fleet.Join({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void InstanceDeath(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Kill({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void RestartAtOneAddress(SmallFleet& fleet, Callers& callers,
                         const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Replace({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void TargetAndInstanceChange(SmallFleet& fleet, Callers& callers,
                             const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Publish(SetState(kFirstTarget, TargetState::kDraining));
  fleet.Leave({1});
  fleet.Join({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void DeathDuringTargetChange(SmallFleet& fleet, Callers& callers,
                             const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Publish(SetState(kFirstTarget, TargetState::kDraining));
  Traffic(fleet, callers, load, 3s);
  fleet.Kill({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void ThreeOverlapping(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Publish(SetState(kFirstTarget, TargetState::kDraining));
  fleet.Leave({1});
  Traffic(fleet, callers, load, 500ms);
  fleet.Publish(SetState(kFirstTarget + 1, TargetState::kDraining));
  fleet.Join({1});
  Traffic(fleet, callers, load, 700ms);
  fleet.Publish(SetState(kFirstTarget, TargetState::kServing));
  fleet.Leave({2});
  Traffic(fleet, callers, load, 300ms);
  fleet.Publish(AddTarget);
  fleet.Join({1});
  Traffic(fleet, callers, load, kSettleTime);
}

void PauseOfAnOwner(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Pause({1}, 6s);
  Traffic(fleet, callers, load, 6s);
  Traffic(fleet, callers, load, kSettleTime);
}

void StaleConfiguration(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.PublishToSome(SetState(kFirstTarget, TargetState::kDraining), 50);
  Traffic(fleet, callers, load, 10s);
  fleet.PublishToSome(SetState(kFirstTarget + 1, TargetState::kDraining), 50);
  Traffic(fleet, callers, load, 10s);
  fleet.PublishToAll();
  Traffic(fleet, callers, load, kSettleTime);
}

void CutOfADomain(SmallFleet& fleet, Callers& callers, const Load& load) {
  Traffic(fleet, callers, load, kWarmUp);
  fleet.Cut({1});
  Traffic(fleet, callers, load, 15s);
  fleet.Heal({1});
  Traffic(fleet, callers, load, kSettleTime);
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> all{
      {"planned target change", true, 1, TargetChange},
      {"planned weight change", true, 1, WeightChange},
      {"planned instance replacement", true, 1, InstanceReplacement},
      {"target and instance at once", true, 1, TargetAndInstanceChange},
      {"three overlapping changes", true, 1, ThreeOverlapping},
      {"three overlapping, 3 domains", true, 3, ThreeOverlapping},
      {"stale configuration", true, 1, StaleConfiguration},
      {"instance death", false, 1, InstanceDeath},
      {"restart at one address", false, 1, RestartAtOneAddress},
      {"death during a target change", false, 1, DeathDuringTargetChange},
      {"pause of an owner", false, 1, PauseOfAnOwner},
      {"cut of a domain", false, 3, CutOfADomain},
  };
  return all;
}

void Traffic(SmallFleet& fleet, Callers& callers, const Load& load,
             std::chrono::milliseconds time) {
  constexpr std::uint64_t kPercent = 100;
  constexpr std::uint64_t kAnyFlow = 1'000'000;
  constexpr std::chrono::milliseconds kStep{100};
  const std::chrono::milliseconds end = fleet.Now() + time;
  while (fleet.Now() < end) {
    fleet.Pass(kStep);
    for (std::uint32_t i = 0; i < load.opened; ++i) {
      callers.Open(1 + static_cast<std::uint32_t>(fleet.Random(2)));
      if (fleet.Random(kPercent) < load.closed_percent) {
        callers.Close(fleet.Random(kAnyFlow));
      }
    }
    for (std::uint32_t i = 0; i < load.sent; ++i) {
      callers.SendNext(fleet.Random(kAnyFlow));
    }
    if (fleet.Now().count() % 500 == 0) {
      callers.Retry();
    }
  }
}

SmallFleetPlan PlanOfToday(std::uint32_t domains, std::uint64_t seed) {
  SmallFleetPlan plan;
  plan.configuration = SampleConfiguration({.services = 2,
                                            .targets_per_service = 14,
                                            .domains = domains,
                                            .partitions = 64});
  std::erase_if(plan.configuration.targets, [](const Target& target) {
    return target.service.value == 2 &&
           target.id.value >
               2 * kTargetsPerServiceLimit + kTargetsOfSecondService;
  });
  plan.instances = 8;
  plan.domains = domains;
  plan.seed = seed;
  return plan;
}

}  // namespace sassafrasdyke::core::testing

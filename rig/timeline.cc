#include "rig/timeline.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace sassafrasdyke::rig {
namespace {

HealthReport ReportNamed(const nlohmann::ordered_json& value) {
  if (value == "failing") {
    return HealthReport::kAlwaysFailing;
  }
  if (value == "silent") {
    return HealthReport::kSilent;
  }
  return value == "true" ? HealthReport::kTrue : HealthReport::kAlwaysHealthy;
}

}  // namespace

void Timeline::Play(const ScenarioStep& step) {
  std::cerr << "at " << step.at.count() << " ms: step "
            << static_cast<int>(step.kind) << ' ' << step.subject << ' '
            << step.path << '\n';
  Deployment& deployment = this->stage.deployment;
  if (StandInTarget* const target = deployment.Find(step.subject);
      target != nullptr) {
    this->PlayTarget(step, *target);
    return;
  }
  switch (step.kind) {
    case StepKind::kAddTarget:
      return deployment.AddTarget(step.subject);
    case StepKind::kSet:
      return deployment.Set(step.path, step.value);
    case StepKind::kCut:
      for (const common::DomainId domain : deployment.Domains(step.subject)) {
        this->stage.fabric.Cut(domain);
      }
      return;
    case StepKind::kHeal:
      for (const common::DomainId domain : deployment.Domains(step.subject)) {
        this->stage.fabric.Heal(domain);
      }
      return;
    case StepKind::kPlatformUp:
      return this->PlayPlatform(step, PlatformMode::kUp);
    case StepKind::kPlatformDown:
      return this->PlayPlatform(step, PlatformMode::kDown);
    case StepKind::kPlatformSlow:
      return this->PlayPlatform(step, PlatformMode::kSlow);
    case StepKind::kPlatformStale:
      return this->PlayPlatform(step, PlatformMode::kStale);
    case StepKind::kPlatformOlder:
      return this->PlayPlatform(step, PlatformMode::kOlder);
    default:
      this->PlayInstance(step);
  }
}

void Timeline::PlayTarget(const ScenarioStep& step, StandInTarget& target) {
  switch (step.kind) {
    case StepKind::kDrain:
      return this->stage.deployment.SetDraining(step.subject, true);
    case StepKind::kUndrain:
      return this->stage.deployment.SetDraining(step.subject, false);
    case StepKind::kRemoveTarget:
      return this->stage.deployment.RemoveTarget(step.subject);
    case StepKind::kFailTarget:
      return target.Fail();
    case StepKind::kRestartTarget:
      return target.Restart();
    case StepKind::kSilenceTarget:
      return target.GoSilent();
    case StepKind::kLie:
      this->stage.judge.TargetUneven(target.Shape().id);
      return target.Report(ReportNamed(step.value));
    default:
      std::cerr << "no such step for a target\n";
  }
}

void Timeline::PlayInstance(const ScenarioStep& step) {
  const common::InstanceId id{static_cast<std::uint32_t>(
      std::strtoul(step.subject.c_str(), nullptr, 10))};
  Instances& instances = this->stage.instances;
  switch (step.kind) {
    case StepKind::kReplace:
      return instances.Replace(id);
    case StepKind::kStart:
      return instances.Restart(id);
    case StepKind::kTerm:
      return instances.Term(id);
    case StepKind::kKill:
      return instances.Kill(id);
    case StepKind::kFreeze:
      return instances.Freeze(id);
    case StepKind::kThaw:
      return instances.Thaw(id);
    default:
      std::cerr << "no such target\n";
  }
}

void Timeline::PlayPlatform(const ScenarioStep& step, PlatformMode mode) {
  const std::chrono::milliseconds delay{
      step.value.is_number_integer() ? step.value.get<std::int64_t>() : 0};
  for (const common::DomainId domain :
       this->stage.deployment.Domains(step.subject)) {
    this->stage.platform.SetMode(domain, mode, delay);
  }
}

}  // namespace sassafrasdyke::rig

#include "rig/load/model_troubles.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

using namespace std::chrono_literals;
using Time = EventQueue::Time;
using std::chrono::milliseconds;

/// How long the entry of a target that died stays published.
constexpr Time kEntryLapses = 3600ms;
/// How long a target stays cold after an evacuation.
constexpr milliseconds kWarmUp{2000};

constexpr std::uint32_t kRouteAddress = 0xC6120001;   // 198.18.0.1
constexpr std::uint32_t kTargetAddress = 0x0A000000;  // 10.0.0.0
constexpr std::uint16_t kRoutePort = 443;

std::string KeyOf(std::size_t target) {
  return "target/" + std::to_string(target);
}

}  // namespace

common::Endpoint RouteEndpoint() {
  return {common::IpAddress::FromV4(kRouteAddress), kRoutePort};
}

std::uint32_t WordOfTarget(std::size_t target) {
  return static_cast<std::uint32_t>(target) + 1;
}

void ModelTroubles::PublishInitial() {
  core::PublishedConfiguration configuration{1, {}};
  core::PublishedRoute route{RouteEndpoint(), {{"service", 1}}};
  route.objective = this->scenario.service.objective;
  configuration.routes.push_back(std::move(route));
  std::set<std::size_t> joining;
  double warmup_rate = 0;
  for (const LoadEvent& event : this->scenario.events) {
    warmup_rate = std::max(warmup_rate, event.warmup_rate);
    if (event.trouble == LoadTrouble::kJoin) {
      const auto affected = this->Affected(event);
      joining.insert(affected.begin(), affected.end());
    }
  }
  if (warmup_rate > 0) {
    configuration.services.push_back({"service", warmup_rate});
  }
  this->fleet.Publish("configuration", std::move(configuration), 0ms);
  for (std::size_t target = 0; target < this->targets.size(); ++target) {
    if (!joining.contains(target)) {
      this->Publish(target, false, 0ms);
    }
  }
}

void ModelTroubles::Publish(std::size_t target, bool draining,
                            Time learnt_within, milliseconds warmup_left) {
  core::PublishedTarget entry;
  entry.number = {WordOfTarget(target)};
  entry.service = "service";
  entry.domain = DomainName(this->targets[target].Domain());
  entry.address = {
      common::IpAddress::FromV4(kTargetAddress + WordOfTarget(target)), 80};
  entry.slots = this->scenario.service.slots;
  entry.draining = draining;
  entry.warmup_left = warmup_left;
  this->fleet.Publish(KeyOf(target), std::move(entry), learnt_within);
}

std::vector<std::size_t> ModelTroubles::Affected(const LoadEvent& event) const {
  std::vector<std::size_t> affected;
  const auto count = static_cast<std::size_t>(
      std::ceil(event.share * static_cast<double>(this->targets.size())));
  // Spread over the list, and so over the domains; one target is always left.
  const std::size_t most =
      std::min(count, this->targets.empty() ? 0 : this->targets.size() - 1);
  for (std::size_t i = 0; i < most; ++i) {
    affected.push_back(i * this->targets.size() / most);
  }
  return affected;
}

void ModelTroubles::Schedule() {
  for (const LoadEvent& event : this->scenario.events) {
    this->Schedule(event);
  }
}

void ModelTroubles::Schedule(const LoadEvent& event) {
  switch (event.trouble) {
    case LoadTrouble::kNone:
    case LoadTrouble::kCut:
    case LoadTrouble::kUneven:
    case LoadTrouble::kMove:
    case LoadTrouble::kHeavy:
      return;  // Packets and arrivals depend on it, no target.
    case LoadTrouble::kOutage:
      this->fleet.ScheduleOutage(event.at, event.lasts);
      return;
    case LoadTrouble::kEvacuate:
      this->ScheduleEvacuation(event);
      return;
    default:
      break;
  }
  for (const std::size_t target : this->Affected(event)) {
    this->events.After(event.at,
                       [this, &event, target] { this->Begin(event, target); });
    this->events.After(event.at + event.lasts,
                       [this, &event, target] { this->End(event, target); });
  }
}

void ModelTroubles::Begin(const LoadEvent& event, std::size_t target) {
  TargetModel& affected = this->targets[target];
  switch (event.trouble) {
    case LoadTrouble::kJoin:
      this->Publish(target, false, kPropagation);
      return;
    case LoadTrouble::kLeave:
      this->Publish(target, true, kPropagation);
      return;
    case LoadTrouble::kSlow:
      affected.slowdown *= event.factor;
      return;
    case LoadTrouble::kDie:
      affected.dead = true;
      this->events.After(kEntryLapses, [this, target] {
        this->fleet.Publish(KeyOf(target), std::nullopt, kPropagation);
      });
      return;
    case LoadTrouble::kHang:
      affected.failures.hung = event.part;
      return;
    case LoadTrouble::kReject:
      affected.failures.rejected = event.part;
      return;
    case LoadTrouble::kReset:
      affected.failures.reset = event.part;
      return;
    default:
      return;
  }
}

void ModelTroubles::End(const LoadEvent& event, std::size_t target) {
  TargetModel& affected = this->targets[target];
  switch (event.trouble) {
    case LoadTrouble::kSlow:
      affected.slowdown /= event.factor;
      return;
    case LoadTrouble::kHang:
      affected.failures.hung = 0;
      return;
    case LoadTrouble::kReject:
      affected.failures.rejected = 0;
      return;
    case LoadTrouble::kReset:
      affected.failures.reset = 0;
      return;
    default:
      return;
  }
}

void ModelTroubles::ScheduleEvacuation(const LoadEvent& event) {
  this->events.After(event.at, [this, &event] {
    const std::string domain = DomainName(event.domain);
    this->fleet.Publish("evacuation/" + domain,
                        core::PublishedEvacuation{domain}, kPropagation);
    this->events.After(
        kPropagation + this->scenario.domain_delay,
        [this, &event] { this->evacuated.insert(event.domain); });
  });
  this->events.After(event.at + event.lasts,
                     [this, &event] { this->EndEvacuation(event); });
}

void ModelTroubles::EndEvacuation(const LoadEvent& event) {
  this->evacuated.erase(event.domain);
  for (std::size_t target = 0; target < this->targets.size(); ++target) {
    TargetModel& cold = this->targets[target];
    if (cold.Domain() != event.domain) {
      continue;
    }
    cold.slowdown *= event.factor;
    cold.cold = true;
    this->Publish(target, false, 0ms, kWarmUp);
    this->events.After(kWarmUp, [&cold, &event] {
      cold.slowdown /= event.factor;
      cold.cold = false;
    });
  }
  // Whoever learns that the domain is back knows that its targets are cold.
  this->events.After(kPropagation, [this, &event] {
    this->fleet.Publish("evacuation/" + DomainName(event.domain), std::nullopt,
                        kPropagation);
  });
}

}  // namespace sassafrasdyke::rig

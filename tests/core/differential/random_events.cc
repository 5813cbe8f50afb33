#include "core/differential/random_events.h"

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>

#include "core/model/callers.h"
#include "core/model/small_fleet.h"
#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kServices = 2;
constexpr std::uint32_t kInstancesPerDomain = 3;
constexpr std::size_t kMinOwners = 2;
constexpr std::size_t kMaxInstances = 12;
constexpr std::chrono::milliseconds kStep = 100ms;
constexpr std::chrono::milliseconds kIdleTime = 10s;

const char* NameOf(EventKind kind) {
  static constexpr const char* kNames[] = {
      "open",   "knock", "close", "pass",   "drain",   "serve", "add",
      "weight", "leave", "join",  "some",   "tell",    "kill",  "replace",
      "pause",  "cut",   "heal",  "remove", "rebirth", "report"};
  return kNames[static_cast<std::size_t>(kind)];
}

void Print(std::ostream& out, const FlowDecision& decision) {
  if (const auto* placed = std::get_if<FlowPlaced>(&decision.what)) {
    out << "placed at " << placed->target << ", " << Word(placed->reason);
  } else if (const auto* found = std::get_if<FlowRecovered>(&decision.what)) {
    out << "recovered at " << found->target << ", " << Word(found->reason);
  } else if (const auto* reset = std::get_if<FlowReset>(&decision.what)) {
    out << "reset, " << Word(reset->reason);
  } else if (const auto* drop = std::get_if<FlowDropped>(&decision.what)) {
    out << "dropped, " << Word(drop->reason);
  }
}

/// The fleet's decisions about a flow, if one is given, and about a partition,
/// one per line.
std::string DescribeDecisions(const SmallFleet& fleet,
                              const PartitionKey& partition,
                              const std::optional<common::FlowKey>& flow) {
  std::ostringstream text;
  for (const LoggedDecision& entry : fleet.Log()) {
    std::ostringstream line;
    line << "\n  " << entry.at.count() << " ms, instance " << entry.by << ": ";
    if (const auto* const about = std::get_if<FlowDecision>(&entry.decision);
        about != nullptr && about->flow == flow) {
      Print(line, *about);
      text << line.str();
    }
    if (const auto* const about =
            std::get_if<PartitionDecision>(&entry.decision);
        about != nullptr && about->partition == partition) {
      line << Word(about->event) << ", other " << about->other;
      text << line.str();
    }
  }
  text << "\n  partition " << partition.service << '/' << partition.partition;
  return text.str();
}

/// The partition of a flow that was decided about.
PartitionKey PartitionOf(const SmallFleet& fleet, const common::FlowKey& flow) {
  PartitionKey partition;
  for (const LoggedDecision& entry : fleet.Log()) {
    const auto* const decision = std::get_if<FlowDecision>(&entry.decision);
    if (decision != nullptr && decision->flow == flow) {
      partition = decision->partition;
    }
  }
  return partition;
}

/// Runs one history on a fleet.
class HistoryRunner {
 public:
  explicit HistoryRunner(const History& history)
      : history(history), fleet(PlanOf(history)), callers(this->fleet) {}

  std::vector<std::string> Run(bool flows_must_survive) {
    this->Pass(2s);
    for (const Event& event : this->history.events) {
      this->Apply(event);
      this->Pass(kStep);
    }
    for (std::uint32_t domain = 1; domain <= this->history.domains; ++domain) {
      this->fleet.Heal({domain});
    }
    this->fleet.PublishToAll();
    this->Pass(5s);
    this->callers.SpeakAll();
    std::vector<std::string> faults = this->callers.Faults();
    if (flows_must_survive) {
      this->AddBrokenFlows(faults);
      this->AddSimultaneousOwners(faults);
    }
    return faults;
  }

 private:
  static SmallFleetPlan PlanOf(const History& history) {
    SmallFleetPlan plan;
    plan.configuration = SampleConfiguration({.services = kServices,
                                              .targets_per_service = 5,
                                              .domains = history.domains,
                                              .partitions = 8});
    for (Service& service : plan.configuration.services) {
      // Short enough for fallbacks to change within a history.
      service.policy.established_idle = 30s;
    }
    plan.instances = kInstancesPerDomain * history.domains;
    plan.domains = history.domains;
    plan.faults.lost_percent = history.lost_percent;
    plan.faults.repeated_percent = history.repeated_percent;
    plan.seed = history.seed;
    return plan;
  }

  void AddBrokenFlows(std::vector<std::string>& faults) const {
    for (const ModelFlow& flow : this->callers.Flows()) {
      const bool broken = flow.state == ModelFlowState::kMisrouted ||
                          flow.state == ModelFlowState::kReset ||
                          flow.state == ModelFlowState::kStalled;
      if (broken) {
        std::ostringstream text;
        text << flow.key.ToString() << " broke, opened at "
             << flow.opened_at.count() << " ms at target " << flow.target
             << ", last path " << flow.last_path
             << DescribeDecisions(this->fleet,
                                  PartitionOf(this->fleet, flow.key), flow.key);
        faults.push_back(text.str());
      }
    }
  }

  /// Two owners at a time may place one flow at two targets.
  void AddSimultaneousOwners(std::vector<std::string>& faults) const {
    std::map<PartitionKey, common::InstanceId> owners;
    for (const LoggedDecision& entry : this->fleet.Log()) {
      const auto* const decision =
          std::get_if<PartitionDecision>(&entry.decision);
      if (decision == nullptr) {
        continue;
      }
      common::InstanceId& owner = owners[decision->partition];
      if (decision->event == PartitionEvent::kGivenUp && owner == entry.by) {
        owner = {};
      } else if (decision->event == PartitionEvent::kTaken) {
        if (owner.value != 0 && owner != entry.by) {
          std::ostringstream text;
          text << "two owners, instances " << owner << " and " << entry.by
               << ", from " << entry.at.count() << " ms"
               << DescribeDecisions(this->fleet, decision->partition,
                                    std::nullopt);
          faults.push_back(text.str());
        }
        owner = entry.by;
      }
    }
  }

  void Pass(std::chrono::milliseconds time) {
    const std::chrono::milliseconds end = this->fleet.Now() + time;
    while (this->fleet.Now() < end) {
      this->fleet.Pass(kStep);
      this->callers.Open(
          1 + static_cast<std::uint32_t>(this->fleet.Random(kServices)));
      this->callers.SendIfIdle(kIdleTime);
      this->callers.Retry();
    }
  }

  common::TargetId PickTarget(std::uint32_t pick) const {
    const auto& targets = this->fleet.Published().targets;
    return targets[pick % targets.size()].id;
  }

  common::InstanceId PickInstance(std::uint32_t pick) const {
    const auto running = this->fleet.Running();
    return running.empty() ? common::InstanceId{}
                           : running[pick % running.size()];
  }

  /// Whether enough owners remain in the instance's domain without it.
  bool MayRemove(common::InstanceId id) const {
    std::size_t others = 0;
    for (const common::InstanceId other : this->fleet.Running()) {
      others += other != id && !this->leaving.contains(other) &&
                        this->fleet.DomainOf(other) == this->fleet.DomainOf(id)
                    ? 1
                    : 0;
    }
    return id.value != 0 && others >= kMinOwners;
  }

  void Change(std::uint32_t pick, const std::function<void(Target&)>& change) {
    const common::TargetId id = this->PickTarget(pick);
    this->fleet.Publish([id, &change](Configuration& next) {
      change(TargetOf(next, id.value));
    });
  }

  void AddTarget(std::uint32_t pick) {
    this->fleet.Publish([this, pick](Configuration& next) {
      Target target = next.targets[pick % next.targets.size()];
      const std::uint32_t service = target.service.value;
      target.id = {service * kTargetsPerServiceLimit + 100 + this->added++};
      target.tunnel.port = static_cast<std::uint16_t>(7000 + this->added);
      target.state = TargetState::kServing;
      next.targets.push_back(target);
      std::sort(next.targets.begin(), next.targets.end(),
                [](const Target& a, const Target& b) { return a.id < b.id; });
    });
  }

  void ApplyPlanned(const Event& event) {
    switch (event.kind) {
      case EventKind::kOpen:
        this->callers.Open(1 + event.pick % kServices);
        break;
      case EventKind::kKnock:
        this->callers.SendSynOnly(1 + event.pick % kServices);
        break;
      case EventKind::kClose:
        this->callers.Close(event.pick);
        break;
      case EventKind::kPass:
        this->Pass(kStep * (1 + event.pick % 50));
        break;
      case EventKind::kDrain:
        this->Change(event.pick, [](Target& target) {
          target.state = TargetState::kDraining;
        });
        break;
      case EventKind::kServe:
        this->Change(event.pick, [](Target& target) {
          target.state = TargetState::kServing;
        });
        break;
      case EventKind::kAddTarget:
        this->AddTarget(event.pick);
        break;
      case EventKind::kWeight:
        this->Change(event.pick, [&event](Target& target) {
          target.weight = 20 + event.pick % 300;
        });
        break;
      case EventKind::kLeave:
        if (const auto id = this->PickInstance(event.pick);
            this->MayRemove(id)) {
          this->leaving[id] = true;
          this->fleet.Leave(id);
        }
        break;
      case EventKind::kJoin:
        if (this->fleet.Running().size() < kMaxInstances) {
          this->fleet.Join({1 + event.pick % this->history.domains});
        }
        break;
      case EventKind::kPublishToSome: {
        const common::TargetId id = this->PickTarget(event.pick);
        this->fleet.PublishToSome(
            [id](Configuration& next) {
              Target& target = TargetOf(next, id.value);
              target.state = target.state == TargetState::kServing
                                 ? TargetState::kDraining
                                 : TargetState::kServing;
            },
            50);
        break;
      }
      default:
        this->fleet.PublishToAll();
        break;
    }
  }

  void Apply(const Event& event) {
    if (event.kind < EventKind::kFirstFault) {
      this->ApplyPlanned(event);
      return;
    }
    const common::InstanceId instance = this->PickInstance(event.pick);
    const common::DomainId domain{1 + event.pick % this->history.domains};
    switch (event.kind) {
      case EventKind::kKill:
        if (this->MayRemove(instance)) {
          this->fleet.Kill(instance);
        }
        break;
      case EventKind::kReplace:
        if (instance.value != 0 && !this->leaving.contains(instance)) {
          this->fleet.Replace(instance);
        }
        break;
      case EventKind::kPause:
        this->fleet.Pause(instance, kStep * (1 + event.pick % 80));
        break;
      case EventKind::kCut:
        if (this->history.domains > 1) {
          this->fleet.Cut(domain);
        }
        break;
      case EventKind::kHeal:
        this->fleet.Heal(domain);
        break;
      case EventKind::kRemoveTarget:
        this->fleet.Publish([&event](Configuration& next) {
          if (next.targets.size() > kServices) {
            next.targets.erase(
                next.targets.begin() +
                static_cast<std::ptrdiff_t>(event.pick % next.targets.size()));
          }
        });
        break;
      case EventKind::kRebirth:
        this->Change(event.pick, [](Target& target) {
          target.tunnel.port =
              static_cast<std::uint16_t>(target.tunnel.port + 100);
        });
        break;
      default:
        this->fleet.Report(this->PickTarget(event.pick),
                           static_cast<TargetHealth>(event.pick / 7 % 4));
        break;
    }
  }

  const History& history;
  SmallFleet fleet;
  Callers callers;
  std::map<common::InstanceId, bool> leaving;
  std::uint32_t added{0};
};

}  // namespace

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << NameOf(event.kind) << ' ' << event.pick;
}

std::ostream& operator<<(std::ostream& out, const History& history) {
  out << history.domains << " domains, " << history.lost_percent << "% lost, "
      << history.repeated_percent << "% repeated, seed " << history.seed;
  for (const Event& event : history.events) {
    out << "; " << event;
  }
  return out;
}

std::vector<std::string> RunHistory(const History& history,
                                    bool flows_must_survive) {
  return HistoryRunner(history).Run(flows_must_survive);
}

}  // namespace sassafrasdyke::core::testing

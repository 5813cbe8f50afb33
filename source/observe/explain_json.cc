#include "observe/explain_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "observe/fault_json.h"
#include "observe/words.h"

namespace sassafrasdyke::observe {
namespace {

using Json = nlohmann::ordered_json;

std::string_view WordOf(core::TargetHealth health) {
  switch (health) {
    case core::TargetHealth::kUnknown:
      return "unknown";
    case core::TargetHealth::kHealthy:
      return "healthy";
    case core::TargetHealth::kShedding:
      return "shedding";
    case core::TargetHealth::kFailing:
      return "failing";
  }
  return "unknown";
}

Json RefusalsOf(const ControlState& state) {
  Json refusals = Json::array();
  for (const core::DocumentRefused& refused : state.refusals) {
    Json refusal = {{"document", Word(refused.kind)},
                    {"revision", refused.revision.value}};
    WriteFaults(refused, refusal);
    refusals.push_back(std::move(refusal));
  }
  return refusals;
}

Json IdsOf(const std::vector<common::InstanceId>& instances) {
  Json ids = Json::array();
  for (const common::InstanceId instance : instances) {
    ids.push_back(instance.value);
  }
  return ids;
}

Json MembersOf(const core::FleetStatus& status) {
  Json members = Json::array();
  for (const core::MemberStatus& member : status.members) {
    members.push_back({{"instance", member.id.value},
                       {"domain", member.domain.value},
                       {"incarnation", member.incarnation.value},
                       {"use", Word(member.use)},
                       {"suspected_by", IdsOf(member.suspected_by)},
                       {"configuration", member.configuration.value},
                       {"instances", member.instances.value}});
  }
  return members;
}

Json UnreachableOf(const core::FleetStatus& status) {
  Json domains = Json::array();
  for (const common::DomainId domain : status.unreachable) {
    domains.push_back(domain.value);
  }
  return domains;
}

core::TargetHealth HealthOf(const ControlState& state, common::TargetId id) {
  const auto found =
      std::ranges::find(state.health, id, &core::TargetHealthChange::target);
  return found == state.health.end() ? core::TargetHealth::kUnknown
                                     : found->health;
}

Json TargetsOf(const ControlState& state) {
  Json targets = Json::array();
  for (const core::Target& target : state.configuration->targets) {
    targets.push_back(
        {{"target", target.id.value},
         {"service", NameOf(target.service, state.configuration.get())},
         {"domain", target.domain.value},
         {"tunnel", target.tunnel.ToString()},
         {"weight", target.weight},
         {"state", Word(target.state)},
         {"health", WordOf(HealthOf(state, target.id))}});
  }
  return targets;
}

Json ExceptionsOf(const core::Configuration& configuration) {
  Json exceptions = Json::array();
  for (const core::ConfigurationException& exception :
       configuration.exceptions) {
    exceptions.push_back({{"subject", exception.subject},
                          {"keys", exception.keys},
                          {"reason", exception.reason}});
  }
  return exceptions;
}

std::string_view WordOf(core::MessageBudget budget) {
  switch (budget) {
    case core::MessageBudget::kHeartbeats:
      return "heartbeats";
    case core::MessageBudget::kMembers:
      return "members";
    case core::MessageBudget::kDeltas:
      return "deltas";
    case core::MessageBudget::kRequests:
      return "requests";
    case core::MessageBudget::kHealth:
      return "health";
    case core::MessageBudget::kCopies:
      return "documents";
  }
  return "unknown";
}

Json BudgetsOf(const ControlState& state) {
  const core::FleetPolicy& policy = state.configuration->policy;
  Json budgets = {
      {"copy_bytes_per_second", policy.copy_bytes_per_second},
      {"control_bytes_per_second", policy.control_bytes_per_second}};
  for (const core::BudgetStatus& used : state.status.budgets) {
    budgets[std::string(WordOf(used.budget))] = {{"messages", used.messages},
                                                 {"bytes", used.bytes},
                                                 {"limited", used.limited},
                                                 {"dropped", used.dropped},
                                                 {"waiting", used.waiting}};
  }
  return budgets;
}

Json FlowsOf(const core::BalancerStatus& status) {
  return {{"open", status.flows},
          {"exceptions", status.exceptions},
          {"copies_held", status.copies_held},
          {"copies_waiting", status.copies_waiting}};
}

Json DocumentsOf(const core::FleetStatus& status) {
  return {{"configuration", status.configuration.revision.value},
          {"configuration_digest", Hex(status.configuration.digest)},
          {"instances", status.instances.revision.value},
          {"instances_digest", Hex(status.instances.digest)}};
}

}  // namespace

std::string ExplainState(const LogIdentity& identity,
                         const StateReading& state) {
  const ControlState& control = *state.control;
  Json json = {{"instance", identity.instance.value},
               {"domain", identity.domain.value},
               {"documents", DocumentsOf(control.status)},
               {"lease", Word(control.view.lease)},
               {"leaving", control.view.leaving},
               {"handed_over", state.data->status.handed_over},
               {"platform_reader", control.status.reader},
               {"owned_partitions", state.data->status.owned_partitions},
               {"flows", FlowsOf(state.data->status)},
               {"unreachable_domains", UnreachableOf(control.status)},
               {"members", MembersOf(control.status)},
               {"refusals", RefusalsOf(control)}};
  if (control.configuration != nullptr) {
    json["budgets"] = BudgetsOf(control);
    json["exceptions"] = ExceptionsOf(*control.configuration);
    json["targets"] = TargetsOf(control);
  }
  constexpr int kIndent = 2;
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace sassafrasdyke::observe

#include "rig/deployment.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kWeight = 100;

}  // namespace

Deployment::Deployment(const Scenario& scenario, const AddressPlan& plan,
                       NaiveBalancers* naive, Flood* flood,
                       Scheduler& scheduler, Judge& judge, Platform& platform,
                       Fabric& fabric)
    : scenario(scenario),
      plan(plan),
      naive(naive),
      flood(flood),
      scheduler(scheduler),
      judge(judge),
      platform(platform),
      fabric(fabric) {}

void Deployment::Build(std::uint64_t hash_seed) {
  using Json = nlohmann::ordered_json;
  const Json& given = this->scenario.configuration;
  this->document = {{"revision", 0},
                    {"fleet", this->scenario.fleet},
                    {"hash_seed", hash_seed},
                    {"defaults", given.value("defaults", Json::object())}};
  this->BuildDomains();
  this->BuildServices();
  this->document["exceptions"] = given.value("exceptions", Json::array());
  const auto scope = this->document.value(
      "/defaults/fleet/fabric_scope"_json_pointer, std::string("fleet"));
  this->fabric.ConfineToDomain(scope == "domain");
  this->Publish();
}

void Deployment::BuildDomains() {
  std::uint32_t id = 0;
  for (const ScenarioDomain& domain : this->scenario.domains) {
    const common::DomainId number{++id};
    this->document["domains"][domain.name] = {{"id", number.value},
                                              {"region", domain.region}};
    if (this->naive == nullptr) {
      this->platform.Open(number, this->plan.Platform(number.value));
    }
  }
}

void Deployment::BuildServices() {
  std::uint32_t id = 0;
  for (const ScenarioService& service : this->scenario.services) {
    this->document["services"][service.name] = {
        {"id", ++id}, {"address", service.address.ToString()}};
  }
  for (const ScenarioService& service : this->scenario.services) {
    for (std::uint32_t i = 0; i < service.targets; ++i) {
      this->Place(service.name);
    }
  }
}

void Deployment::Place(const std::string& service) {
  const auto& services = this->scenario.services;
  const auto shape = std::find_if(
      services.begin(), services.end(),
      [&service](const auto& entry) { return entry.name == service; });
  if (shape == services.end()) {
    std::cerr << "no service " << service << '\n';
    return;
  }
  std::uint32_t number = 1;
  while (this->upstreams.contains(TargetName(service, number))) {
    ++number;
  }
  const auto domains =
      static_cast<std::uint32_t>(this->scenario.domains.size());
  this->PlaceUpstream(TargetName(service, number),
                      {.id = common::TargetId{this->next_target++},
                       .service = common::ServiceId{static_cast<std::uint32_t>(
                           shape - services.begin() + 1)},
                       .address = shape->address,
                       .slots = shape->slots,
                       .connections = shape->connections,
                       .service_time = shape->service_time,
                       .answer_parts = shape->answer_parts,
                       .shed_at = shape->shed_at,
                       .cold_factor = shape->cold_factor,
                       .cold_time = shape->cold_time},
                      common::DomainId{(number - 1) % domains + 1});
}

void Deployment::PlaceUpstream(const std::string& name,
                               const TargetShape& shape,
                               common::DomainId domain) {
  auto upstream = std::make_unique<Upstream>(shape, this->scheduler,
                                             this->judge, this->fabric);
  const std::uint32_t id = shape.id.value;
  this->judge.TargetAdded(shape.id, shape.service, kWeight);
  this->TellNaive(upstream->Target(), true);
  if (this->flood != nullptr) {
    this->flood->AddTarget(this->plan.TargetTunnel(id));
  } else {
    this->fabric.AddTarget(upstream->Target(), domain);
  }
  if (this->naive == nullptr) {
    upstream->Listen(this->plan.TargetHealth(id));
  }
  this->document["targets"][name] = {
      {"id", id},
      {"service", this->scenario.services[shape.service.value - 1].name},
      {"domain", this->scenario.domains[domain.value - 1].name},
      {"tunnel", this->plan.TargetTunnel(id).ToString()},
      {"weight", kWeight},
      {"state", "serving"},
      {"slots", shape.slots},
      {"connections", shape.connections},
      {"health", this->plan.TargetHealth(id).ToString()}};
  this->upstreams.emplace(name, std::move(upstream));
}

void Deployment::AddTarget(const std::string& service) {
  const common::TargetId added{this->next_target};
  this->Place(service);
  this->judge.TargetUneven(added);
  this->Publish();
}

void Deployment::RemoveTarget(const std::string& name) {
  this->document["targets"].erase(name);
  this->Publish();
  if (StandInTarget* const target = this->Find(name); target != nullptr) {
    target->Fail();
    if (this->naive != nullptr) {
      this->naive->RemoveTarget(target->Shape().id);
    }
  }
}

void Deployment::SetDraining(const std::string& name, bool draining) {
  this->document["targets"][name]["state"] = draining ? "draining" : "serving";
  if (StandInTarget* const target = this->Find(name); target != nullptr) {
    draining ? this->judge.TargetDrained(target->Shape().id)
             : this->judge.TargetReturned(target->Shape().id);
    this->TellNaive(*target, !draining);
  }
  this->Publish();
}

void Deployment::Set(const std::string& path,
                     const nlohmann::ordered_json& value) {
  this->document[nlohmann::ordered_json::json_pointer(path)] = value;
  this->Publish();
}

void Deployment::TellNaive(const StandInTarget& target, bool serving) {
  if (this->naive != nullptr) {
    this->naive->SetTarget(target.Shape().id, target.Shape().address, serving);
  }
}

void Deployment::Publish() {
  const std::uint64_t revision = this->platform.Publish(
      core::DocumentKind::kConfiguration, this->document);
  if (this->listener) {
    this->listener(revision);
  }
}

StandInTarget* Deployment::Find(const std::string& name) {
  const auto found = this->upstreams.find(name);
  return found == this->upstreams.end() ? nullptr : &found->second->Target();
}

std::vector<common::DomainId> Deployment::Domains(
    const std::string& name) const {
  std::vector<common::DomainId> out;
  for (std::uint32_t i = 0; i < this->scenario.domains.size(); ++i) {
    if (name == "all" || name == this->scenario.domains[i].name) {
      out.push_back(common::DomainId{i + 1});
    }
  }
  return out;
}

}  // namespace sassafrasdyke::rig

#include "config/configuration_assembler.h"

#include <algorithm>

#include "config/value_format.h"

namespace sassafrasdyke::config {
namespace {

template <typename Item>
void SortById(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(),
            [](const Item& left, const Item& right) {
              return left.id.value < right.id.value;
            });
}

}  // namespace

ConfigurationAssembler::ConfigurationAssembler(common::Revision revision,
                                               TargetCache& cache,
                                               core::DocumentFaults& faults)
    : cache(cache), applier(faults), faults(faults) {
  this->configuration.revision = revision;
}

void ConfigurationAssembler::Add(const core::DocumentEntry& entry) {
  if (!this->paths.insert(entry.path).second) {
    this->Fault("/" + entry.path, "stands twice in the document");
    return;
  }
  const EntryPath path = EntryPath::Parse(entry.path);
  if (entry.path.find('/') == std::string::npos) {
    if (const auto json = this->Parse(entry)) {
      this->AddSingle(entry.path, *json);
    }
  } else if (Name::IsName(path.name)) {
    this->AddMember(path, entry);
  } else {
    this->Fault("/" + entry.path, NotValid(Name().Describe()));
  }
}

std::optional<Json> ConfigurationAssembler::Parse(
    const core::DocumentEntry& entry) {
  auto json = ParseJson(entry.body, "/" + entry.path);
  if (!json) {
    this->faults.insert(this->faults.end(), json.error().begin(),
                        json.error().end());
    return std::nullopt;
  }
  return std::move(*json);
}

void ConfigurationAssembler::AddSingle(const std::string& path,
                                       const Json& json) {
  const std::string at = "/" + path;
  if (path == "fleet") {
    this->fleet_seen = true;
    if (!Name().Read(json, this->configuration.fleet)) {
      this->Fault(at, NotValid(Name().Describe()));
    }
  } else if (path == "hash_seed") {
    this->hash_seed_seen = true;
    const WholeNumber format{0, UINT64_MAX};
    if (!format.Read(json, this->configuration.hash_seed)) {
      this->Fault(at, NotValid(format.Describe()));
    }
  } else if (path == "defaults") {
    DefaultsKeys().Read(json, at, this->defaults, this->faults);
  } else if (path == "exceptions") {
    this->AddExceptions(json);
  } else {
    this->Fault(at, "is not a known entry");
  }
}

void ConfigurationAssembler::AddMember(const EntryPath& path,
                                       const core::DocumentEntry& entry) {
  const std::string at = "/" + entry.path;
  if (path.group == "targets") {
    this->AddTarget(path.name, entry);
    return;
  }
  const auto json = this->Parse(entry);
  if (!json) {
    return;
  }
  if (path.group == "domains") {
    this->AddDomain(path.name, at, *json);
  } else if (path.group == "services") {
    this->AddService(path.name, at, *json);
  } else {
    this->Fault(at, "is not a known entry");
  }
}

void ConfigurationAssembler::AddDomain(const std::string& name,
                                       const std::string& at,
                                       const Json& json) {
  core::Domain domain;
  domain.name = name;
  DomainKeys().Read(json, at, domain, this->faults);
  if (domain.id.value != 0) {
    this->domain_ids.Add(std::to_string(domain.id.value), name, at + "/id",
                         this->faults);
  }
  this->domains.emplace(name, std::move(domain));
}

void ConfigurationAssembler::AddService(const std::string& name,
                                        const std::string& at,
                                        const Json& json) {
  core::Service service;
  service.name = name;
  ServiceKeys().Read(json, at, service, this->faults);
  if (service.id.value != 0) {
    this->service_ids.Add(std::to_string(service.id.value), name, at + "/id",
                          this->faults);
  }
  if (service.address.port != 0) {
    this->addresses.Add(service.address.ToString(), name, at + "/address",
                        this->faults);
  }
  this->services.emplace(name, std::move(service));
  this->service_names.push_back(name);
}

void ConfigurationAssembler::AddTarget(const std::string& name,
                                       const core::DocumentEntry& entry) {
  if (const TargetEntry* known = this->cache.Find(entry.path, entry.body)) {
    this->KeepTarget(name, *known);
    return;
  }
  const auto json = this->Parse(entry);
  if (!json) {
    return;
  }
  TargetEntry target;
  const std::size_t before = this->faults.size();
  TargetKeys().Read(*json, "/" + entry.path, target, this->faults);
  if (this->faults.size() == before) {
    this->cache.Put(entry.path, entry.body, target);
  }
  this->KeepTarget(name, target);
}

void ConfigurationAssembler::KeepTarget(const std::string& name,
                                        const TargetEntry& target) {
  const std::string at = "/targets/" + name;
  if (target.id.value != 0) {
    this->target_ids.Add(std::to_string(target.id.value), name, at + "/id",
                         this->faults);
  }
  if (target.tunnel.port != 0) {
    this->tunnels.Add(target.tunnel.ToString(), name, at + "/tunnel",
                      this->faults);
  }
  this->targets.emplace(name, target);
  this->target_names.push_back(name);
}

void ConfigurationAssembler::AddExceptions(const Json& json) {
  if (!json.is_array()) {
    this->Fault("/exceptions", "must be an array");
    return;
  }
  for (std::size_t i = 0; i < json.size(); ++i) {
    const std::string at = "/exceptions/" + std::to_string(i);
    ExceptionEntry entry;
    const std::size_t before = this->faults.size();
    ExceptionKeys().Read(json[i], at, entry, this->faults);
    if (this->faults.size() == before) {
      this->exceptions.emplace_back(at, std::move(entry));
    }
  }
}

core::Configuration ConfigurationAssembler::Finish() {
  this->CheckSingles();
  this->CheckFleetPolicy();
  this->GiveDefaults();
  this->ResolveTargets();
  this->ApplyExceptions();
  this->CheckServicePolicies();
  this->Collect();
  return std::move(this->configuration);
}

void ConfigurationAssembler::CheckSingles() {
  if (!this->fleet_seen) {
    this->Fault("/fleet", "is missing");
  }
  if (!this->hash_seed_seen) {
    this->Fault("/hash_seed", "is missing");
  }
}

void ConfigurationAssembler::CheckFleetPolicy() {
  const core::FleetPolicy& policy = this->defaults.fleet;
  const std::string at = "/defaults/fleet";
  // With times in the wrong order every instance suspects its peers between
  // two of their heartbeats, and ownership moves without end.
  if (policy.suspect_after <= policy.heartbeat_interval) {
    this->Fault(at + "/suspect_after_ms",
                "must be longer than heartbeat_interval_ms");
  }
  if (policy.lease <= policy.heartbeat_interval) {
    this->Fault(at + "/lease_ms", "must be longer than heartbeat_interval_ms");
  }
  if (policy.leave_deadline < policy.leave_quiet) {
    this->Fault(at + "/leave_deadline_ms",
                "must not be shorter than leave_quiet_ms");
  }
  if (policy.copy_bytes_per_second > policy.control_bytes_per_second) {
    this->Fault(at + "/copy_bytes_per_second",
                "must not be greater than control_bytes_per_second");
  }
  this->configuration.policy = policy;
}

void ConfigurationAssembler::GiveDefaults() {
  for (auto& [name, service] : this->services) {
    service.policy = this->defaults.service;
  }
}

void ConfigurationAssembler::ResolveTargets() {
  for (const std::string& name : this->target_names) {
    TargetEntry& target = this->targets.at(name);
    const std::string at = "/targets/" + name;
    if (const auto service = this->services.find(target.service_name);
        service != this->services.end()) {
      target.service = service->second.id;
    } else if (!target.service_name.empty()) {
      this->Fault(at + "/service", "names no published service");
    }
    if (const auto domain = this->domains.find(target.domain_name);
        domain != this->domains.end()) {
      target.domain = domain->second.id;
    } else if (!target.domain_name.empty()) {
      this->Fault(at + "/domain", "names no published failure domain");
    }
  }
}

void ConfigurationAssembler::ApplyExceptions() {
  for (const auto& [at, entry] : this->exceptions) {
    this->ApplyException(entry, at);
    core::ConfigurationException exception{entry.subject, {}, entry.reason};
    for (const auto& [key, value] : entry.set.items()) {
      exception.keys.push_back(key);
    }
    this->configuration.exceptions.push_back(std::move(exception));
  }
}

void ConfigurationAssembler::ApplyException(const ExceptionEntry& entry,
                                            const std::string& at) {
  const EntryPath subject = EntryPath::Parse(entry.subject);
  if (subject.group == "services") {
    if (const auto found = this->services.find(subject.name);
        found != this->services.end()) {
      this->applier.Apply(entry, at, ServicePolicyKeys(), found->second.policy);
      return;
    }
  }
  if (subject.group == "targets") {
    if (const auto found = this->targets.find(subject.name);
        found != this->targets.end()) {
      this->applier.Apply(entry, at, TargetKeys(), found->second);
      return;
    }
  }
  this->Fault(at + "/subject", "names no published service or target");
}

void ConfigurationAssembler::CheckServicePolicies() {
  for (const std::string& name : this->service_names) {
    const core::ServicePolicy& policy = this->services.at(name).policy;
    // A flow that is being opened must not outlive an established one, else
    // its record would vanish at the moment that it is answered.
    if (policy.established_idle < policy.syn_idle) {
      this->Fault("/services/" + name,
                  "must not have an established_idle_ms shorter than its "
                  "syn_idle_ms");
    }
  }
}

void ConfigurationAssembler::Collect() {
  for (auto& [name, domain] : this->domains) {
    this->configuration.domains.push_back(std::move(domain));
  }
  for (auto& [name, service] : this->services) {
    this->configuration.services.push_back(std::move(service));
  }
  this->configuration.targets.reserve(this->targets.size());
  for (const auto& [name, target] : this->targets) {
    this->configuration.targets.push_back(target);
  }
  SortById(this->configuration.domains);
  SortById(this->configuration.services);
  SortById(this->configuration.targets);
}

void ConfigurationAssembler::Fault(std::string path, std::string what) {
  this->faults.push_back({std::move(path), std::move(what)});
}

}  // namespace sassafrasdyke::config

#include "config/configuration_reader.h"

#include <string>
#include <unordered_map>
#include <utility>

#include "config/configuration_assembler.h"
#include "config/document_splitter.h"
#include "config/instance_list_assembler.h"
#include "config/json_text.h"
#include "config/target_cache.h"

namespace sassafrasdyke::config {
namespace {

tl::expected<core::Configuration, core::DocumentFaults> Assemble(
    const core::Document& document, TargetCache& cache,
    core::DocumentFaults faults) {
  ConfigurationAssembler assembler(document.revision, cache, faults);
  for (const core::DocumentEntry& entry : document.entries) {
    assembler.Add(entry);
  }
  core::Configuration configuration = assembler.Finish();
  cache.EndDocument();
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return configuration;
}

tl::expected<core::InstanceList, core::DocumentFaults> AssembleInstances(
    const core::Document& document, core::DocumentFaults faults) {
  InstanceListAssembler assembler(document.revision, faults);
  for (const core::DocumentEntry& entry : document.entries) {
    assembler.Add(entry);
  }
  core::InstanceList list = assembler.Finish();
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return list;
}

/// Revision 0 stands for "none" between instances.
core::DocumentFaults CheckRevision(const core::Document& document) {
  if (document.revision.value == 0) {
    return {{"/revision", "must not be 0"}};
  }
  return {};
}

}  // namespace

tl::expected<core::Configuration, core::DocumentFaults>
ConfigurationReader::ReadConfiguration(const core::Document& document) const {
  return Assemble(document, this->cache, CheckRevision(document));
}

tl::expected<core::InstanceList, core::DocumentFaults>
ConfigurationReader::ReadInstances(const core::Document& document) const {
  return AssembleInstances(document, CheckRevision(document));
}

core::DocumentFaults ConfigurationReader::CheckChange(
    const core::Configuration& in_force,
    const core::Configuration& next) const {
  core::DocumentFaults faults;
  if (next.fleet != in_force.fleet) {
    faults.push_back({"/fleet", "must stay " + Quoted(in_force.fleet)});
  }
  // Another seed or count of partitions moves nearly every flow to another
  // owner, which knows none of them: callers would see most of their
  // connections break at once.
  if (next.hash_seed != in_force.hash_seed) {
    faults.push_back(
        {"/hash_seed", "must stay " + std::to_string(in_force.hash_seed)});
  }
  std::unordered_map<common::ServiceId, std::uint32_t> partitions;
  for (const core::Service& service : in_force.services) {
    partitions.emplace(service.id, service.policy.partitions);
  }
  for (const core::Service& service : next.services) {
    const auto old = partitions.find(service.id);
    if (old != partitions.end() && old->second != service.policy.partitions) {
      faults.push_back(
          {ChildPath("/services", service.name),
           "must keep its " + std::to_string(old->second) + " partitions"});
    }
  }
  return faults;
}

tl::expected<core::Configuration, core::DocumentFaults> ReadConfigurationText(
    std::string_view json) {
  SplitResult split =
      SplitAsFarAsPossible(core::DocumentKind::kConfiguration, json);
  if (split.document.entries.empty() && !split.faults.empty()) {
    return tl::unexpected(std::move(split.faults));
  }
  TargetCache cache;
  return Assemble(split.document, cache, std::move(split.faults));
}

tl::expected<core::InstanceList, core::DocumentFaults> ReadInstancesText(
    std::string_view json) {
  SplitResult split =
      SplitAsFarAsPossible(core::DocumentKind::kInstances, json);
  if (split.document.entries.empty() && !split.faults.empty()) {
    return tl::unexpected(std::move(split.faults));
  }
  return AssembleInstances(split.document, std::move(split.faults));
}

}  // namespace sassafrasdyke::config

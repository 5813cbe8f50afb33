#include "config/configuration_reader.h"

#include <string>
#include <unordered_map>
#include <utility>

#include "config/configuration_assembler.h"
#include "config/document_splitter.h"
#include "config/instance_list_assembler.h"
#include "config/json_text.h"

namespace sassafrasdyke::config {
namespace {

/// Feeds every entry to `assembler`, which says what they make together.
template <typename Value, typename Assembler>
tl::expected<Value, core::DocumentFaults> Assemble(
    const core::Document& document, core::DocumentFaults faults) {
  Assembler assembler(document.revision, faults);
  for (const core::DocumentEntry& entry : document.entries) {
    const std::string path = "/" + entry.path;
    auto body = ParseJson(entry.body, path);
    if (!body) {
      faults.insert(faults.end(), body.error().begin(), body.error().end());
      continue;
    }
    assembler.Add(entry.path, *body);
  }
  Value value = assembler.Finish();
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return value;
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
  return Assemble<core::Configuration, ConfigurationAssembler>(
      document, CheckRevision(document));
}

tl::expected<core::InstanceList, core::DocumentFaults>
ConfigurationReader::ReadInstances(const core::Document& document) const {
  return Assemble<core::InstanceList, InstanceListAssembler>(
      document, CheckRevision(document));
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
  return Assemble<core::Configuration, ConfigurationAssembler>(
      split.document, std::move(split.faults));
}

tl::expected<core::InstanceList, core::DocumentFaults> ReadInstancesText(
    std::string_view json) {
  SplitResult split =
      SplitAsFarAsPossible(core::DocumentKind::kInstances, json);
  if (split.document.entries.empty() && !split.faults.empty()) {
    return tl::unexpected(std::move(split.faults));
  }
  return Assemble<core::InstanceList, InstanceListAssembler>(
      split.document, std::move(split.faults));
}

}  // namespace sassafrasdyke::config

/// Puts a configuration together from its entries.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "config/deviation_applier.h"
#include "config/entry_path.h"
#include "config/json_text.h"
#include "config/published_keys.h"
#include "config/target_cache.h"
#include "config/unique_index.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::config {

/// Takes entries in any order, then resolves references and applies
/// exceptions.
class ConfigurationAssembler {
 public:
  /// `faults` takes every fault; it and `cache` must outlive the assembler.
  ConfigurationAssembler(common::Revision revision, TargetCache& cache,
                         core::DocumentFaults& faults);

  void Add(const core::DocumentEntry& entry);
  /// The configuration, sorted by id; only good when there were no faults.
  core::Configuration Finish();

 private:
  std::optional<Json> Parse(const core::DocumentEntry& entry);
  void AddSingle(const std::string& path, const Json& json);
  void AddMember(const EntryPath& path, const core::DocumentEntry& entry);
  void AddDomain(const std::string& name, const std::string& at,
                 const Json& json);
  void AddService(const std::string& name, const std::string& at,
                  const Json& json);
  void AddTarget(const std::string& name, const core::DocumentEntry& entry);
  void KeepTarget(const std::string& name, const TargetEntry& target);
  void AddExceptions(const Json& json);

  void CheckSingles();
  void CheckFleetPolicy();
  void GiveDefaults();
  void ResolveTargets();
  void ApplyExceptions();
  void ApplyException(const ExceptionEntry& entry, const std::string& at);
  void CheckServicePolicies();
  void Collect();
  void Fault(std::string path, std::string what);

  TargetCache& cache;
  core::Configuration configuration;
  DefaultsEntry defaults;
  bool fleet_seen{false};
  bool hash_seed_seen{false};
  std::set<std::string> paths;
  std::unordered_map<std::string, core::Domain> domains;
  std::unordered_map<std::string, core::Service> services;
  std::unordered_map<std::string, TargetEntry> targets;
  std::vector<std::string> service_names;  ///< In the order of the document.
  std::vector<std::string> target_names;   ///< In the order of the document.
  /// With their places in the document, such as "/exceptions/0".
  std::vector<std::pair<std::string, ExceptionEntry>> exceptions;
  DeviationApplier applier;
  UniqueIndex domain_ids;
  UniqueIndex service_ids;
  UniqueIndex addresses;
  UniqueIndex target_ids;
  UniqueIndex tunnels;
  core::DocumentFaults& faults;
};

}  // namespace sassafrasdyke::config

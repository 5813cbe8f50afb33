/// Every key of the two published documents, declared once.
#pragma once

#include <string>
#include <vector>

#include "config/json_text.h"
#include "config/key_table.h"
#include "core/configuration.h"

namespace sassafrasdyke::config {

/// A target as it is written: it names its service and its failure domain.
struct TargetEntry : core::Target {
  std::string service_name;
  std::string domain_name;
};

/// An exception as it is written.
struct ExceptionEntry {
  std::string subject;
  Json set;
  std::string reason;
};

/// The fleet's and the services' defaults, "defaults".
struct DefaultsEntry {
  core::FleetPolicy fleet;
  core::ServicePolicy service;
};

const KeyTable<core::FleetPolicy>& FleetPolicyKeys();
const KeyTable<core::ServicePolicy>& ServicePolicyKeys();
const KeyTable<DefaultsEntry>& DefaultsKeys();
const KeyTable<core::Domain>& DomainKeys();
const KeyTable<core::Service>& ServiceKeys();
const KeyTable<TargetEntry>& TargetKeys();
const KeyTable<ExceptionEntry>& ExceptionKeys();
const KeyTable<core::Instance>& InstanceKeys();

/// Every key of the configuration, for the operators' reference. NAME stands
/// for the name that an operator chooses.
std::vector<KeyReference> ConfigurationReference();

/// Every key of the instance list.
std::vector<KeyReference> InstancesReference();

}  // namespace sassafrasdyke::config

/// Reads the published documents: every entry checked, every reference
/// resolved, every exception applied.
#pragma once

#include <string_view>
#include <tl/expected.hpp>

#include "config/target_cache.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::config {

/// The product's reader of documents. Never throws, whatever the entries hold.
/// Keeps what it read of targets for the next revision, so one reader belongs
/// to one task.
class ConfigurationReader final : public core::DocumentReader {
 public:
  tl::expected<core::Configuration, core::DocumentFaults> ReadConfiguration(
      const core::Document& document) const override;
  tl::expected<core::InstanceList, core::DocumentFaults> ReadInstances(
      const core::Document& document) const override;
  core::DocumentFaults CheckChange(
      const core::Configuration& in_force,
      const core::Configuration& next) const override;

 private:
  mutable TargetCache cache;
};

/// Reads the whole text of a configuration; the faults of its outer shape and
/// of its entries together.
tl::expected<core::Configuration, core::DocumentFaults> ReadConfigurationText(
    std::string_view json);

/// Reads the whole text of an instance list.
tl::expected<core::InstanceList, core::DocumentFaults> ReadInstancesText(
    std::string_view json);

}  // namespace sassafrasdyke::config

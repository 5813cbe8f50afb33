/// Puts an instance list together from its entries.
#pragma once

#include <string>

#include "common/ids.h"
#include "config/json_text.h"
#include "config/unique_index.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"

namespace sassafrasdyke::config {

/// Takes entries in any order, then says what they make together.
class InstanceListAssembler {
 public:
  /// `faults` takes every fault and must outlive the assembler.
  InstanceListAssembler(common::Revision revision,
                        core::DocumentFaults& faults);

  /// Takes the entry `path` with the parsed body `json`.
  void Add(const std::string& path, const Json& json);
  /// The list, sorted by id; only good when there were no faults.
  core::InstanceList Finish();

 private:
  core::InstanceList list;
  UniqueIndex paths;
  UniqueIndex ids;
  UniqueIndex tunnels;
  UniqueIndex controls;
  core::DocumentFaults& faults;
};

}  // namespace sassafrasdyke::config

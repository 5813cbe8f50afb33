/// Puts an instance list together from its entries.
#pragma once

#include "common/ids.h"
#include "config/unique_index.h"
#include "core/configuration.h"
#include "core/fleet/fleet.h"
#include "core/messages.h"

namespace sassafrasdyke::config {

/// Takes entries in any order, then says what they make together.
class InstanceListAssembler {
 public:
  /// `faults` takes every fault and must outlive the assembler.
  InstanceListAssembler(common::Revision revision,
                        core::DocumentFaults& faults);

  void Add(const core::DocumentEntry& entry);
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

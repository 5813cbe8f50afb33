/// The health of the targets, as found by the probers of the failure domain.
#pragma once

#include <cstdint>

#include "core/fleet/versioned_table.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Table traits: one record for each target whose health ever changed.
struct TargetHealthTraits {
  using Record = TargetHealthChange;
  using Key = common::TargetId;

  static Key KeyOf(const Record& record) { return record.target; }
  static bool Newer(const Record& left, const Record& right);
  static std::uint64_t HashOf(const Record& record);
};

using TargetHealthTable = VersionedTable<TargetHealthTraits>;

/// True when a prober's result differs from the table. A target without a
/// record counts as healthy, so that no reports are sent while all are healthy.
bool IsChange(const TargetHealthTable& table, common::TargetId target,
              TargetHealth health);

/// The change to spread when `by` has found `health`; the table doesn't change.
TargetHealthChange NextChange(const TargetHealthTable& table,
                              common::TargetId target, TargetHealth health,
                              common::InstanceId by);

}  // namespace sassafrasdyke::core

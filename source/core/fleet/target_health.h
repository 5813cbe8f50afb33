/// What the failure domain's probers have seen of the targets.
#pragma once

#include <cstdint>

#include "core/fleet/versioned_table.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// How target health is kept: one record for each target that ever changed.
struct TargetHealthTraits {
  using Record = TargetHealthChange;
  using Key = common::TargetId;

  static Key KeyOf(const Record& record) { return record.target; }
  static bool Newer(const Record& left, const Record& right);
  static std::uint64_t HashOf(const Record& record);
};

using TargetHealthTable = VersionedTable<TargetHealthTraits>;

/// True when a prober's finding is news to the table. A target without a record
/// counts as healthy, so that a fleet in rest has nothing to say.
bool IsChange(const TargetHealthTable& table, common::TargetId target,
              TargetHealth health);

/// The change to spread when `by` has found `health`; nothing is merged.
TargetHealthChange NextChange(const TargetHealthTable& table,
                              common::TargetId target, TargetHealth health,
                              common::InstanceId by);

}  // namespace sassafrasdyke::core

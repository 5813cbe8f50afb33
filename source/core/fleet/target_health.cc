#include "core/fleet/target_health.h"

#include <tuple>

#include "common/hash.h"

namespace sassafrasdyke::core {

bool TargetHealthTraits::Newer(const Record& left, const Record& right) {
  return std::tuple(left.version, left.seen_by.value, left.health) >
         std::tuple(right.version, right.seen_by.value, right.health);
}

std::uint64_t TargetHealthTraits::HashOf(const Record& record) {
  const std::uint64_t what =
      common::HashNumbers(record.version, record.seen_by.value,
                          static_cast<std::uint64_t>(record.health));
  return common::HashNumbers(record.target.value, what, 2);
}

bool IsChange(const TargetHealthTable& table, common::TargetId target,
              TargetHealth health) {
  const TargetHealthChange* last = table.Find(target);
  const TargetHealth known =
      last == nullptr ? TargetHealth::kHealthy : last->health;
  return health != TargetHealth::kUnknown && health != known;
}

TargetHealthChange NextChange(const TargetHealthTable& table,
                              common::TargetId target, TargetHealth health,
                              common::InstanceId by) {
  const TargetHealthChange* last = table.Find(target);
  return {target, health, last == nullptr ? 1 : last->version + 1, by};
}

}  // namespace sassafrasdyke::core

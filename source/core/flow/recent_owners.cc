#include "core/flow/recent_owners.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Owners kept per partition: a rolling restart moves a partition no more often
/// than this while views differ.
constexpr std::size_t kMaxOwners = 3;

}  // namespace

void RecentOwners::Add(common::InstanceId owner,
                       std::chrono::milliseconds until) {
  std::erase_if(this->entries,
                [owner](const Entry& entry) { return entry.id == owner; });
  if (this->entries.size() >= kMaxOwners) {
    this->entries.pop_back();
  }
  this->entries.insert(this->entries.begin(), {owner, until});
}

std::optional<common::InstanceId> RecentOwners::Newest(
    std::chrono::milliseconds now,
    const std::function<bool(common::InstanceId)>& accepts) const {
  const auto found = std::find_if(
      this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
        return now < entry.until && accepts(entry.id);
      });
  return found == this->entries.end() ? std::nullopt : std::optional(found->id);
}

}  // namespace sassafrasdyke::core

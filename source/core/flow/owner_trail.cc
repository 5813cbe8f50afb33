#include "core/flow/owner_trail.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Owners remembered of a partition: a rolling restart moves it no more
/// often while views differ.
constexpr std::size_t kMost = 3;

}  // namespace

void OwnerTrail::Add(common::InstanceId owner,
                     std::chrono::milliseconds until) {
  std::erase_if(this->entries,
                [owner](const Entry& entry) { return entry.id == owner; });
  if (this->entries.size() >= kMost) {
    this->entries.pop_back();
  }
  this->entries.insert(this->entries.begin(), {owner, until});
}

std::optional<common::InstanceId> OwnerTrail::Newest(
    std::chrono::milliseconds now,
    const std::function<bool(common::InstanceId)>& accepts) const {
  const auto found = std::find_if(
      this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
        return now < entry.until && accepts(entry.id);
      });
  return found == this->entries.end() ? std::nullopt : std::optional(found->id);
}

}  // namespace sassafrasdyke::core

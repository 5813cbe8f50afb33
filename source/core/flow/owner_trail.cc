#include "core/flow/owner_trail.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

/// Former owners remembered of a partition: a rolling restart moves it no more
/// often while views differ.
constexpr std::size_t kMost = 3;

}  // namespace

void OwnerTrail::Add(common::InstanceId former,
                     std::chrono::milliseconds until) {
  std::erase_if(this->formers,
                [former](const Former& known) { return known.id == former; });
  if (this->formers.size() >= kMost) {
    this->formers.pop_back();
  }
  this->formers.insert(this->formers.begin(), {former, until});
}

std::optional<common::InstanceId> OwnerTrail::Newest(
    std::chrono::milliseconds now,
    const std::function<bool(common::InstanceId)>& accepts) const {
  const auto found = std::find_if(
      this->formers.begin(), this->formers.end(), [&](const Former& former) {
        return now < former.until && accepts(former.id);
      });
  return found == this->formers.end() ? std::nullopt : std::optional(found->id);
}

}  // namespace sassafrasdyke::core

#include "core/flow/owner_trail.h"

#include <algorithm>
#include <ranges>

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
    this->formers.erase(this->formers.begin());
  }
  this->formers.push_back({former, until});
}

std::optional<common::InstanceId> OwnerTrail::Newest(
    std::chrono::milliseconds now,
    const std::function<bool(common::InstanceId)>& accepts) const {
  for (const Former& former : std::views::reverse(this->formers)) {
    if (now < former.until && accepts(former.id)) {
      return former.id;
    }
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::core

#include "core/roster/view_comparison.h"

#include <cstddef>

namespace sassafrasdyke::core {
namespace {

/// So many peers in a row must differ. While few instances have a wrong view,
/// the others hardly hear so many of them in a row.
constexpr std::size_t kMinDiffering = 4;
/// Limits the copies while views go on differing.
constexpr std::chrono::milliseconds kReplaceInterval{2000};

}  // namespace

bool ViewComparison::OnPeer(const common::Endpoint& peer, bool same,
                            std::chrono::milliseconds now) {
  if (same) {
    this->differing.clear();
    return false;
  }
  this->differing.insert(peer);
  if (this->differing.size() < kMinDiffering ||
      now < this->replace_not_before) {
    return false;
  }
  this->differing.clear();
  this->replace_not_before = now + kReplaceInterval;
  return true;
}

}  // namespace sassafrasdyke::core

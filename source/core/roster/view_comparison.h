/// Detects that the own view lacks changes that it claims to hold.
///
/// Such a view stays wrong without a sign: its age is low, and deltas bring
/// only later changes. Instances therefore compare the content hashes of views
/// at the same revision.
#pragma once

#include <chrono>
#include <set>

#include "common/address.h"

namespace sassafrasdyke::core {

/// Compares the own view with those of peers. Times are monotonic.
class ViewComparison {
 public:
  /// A peer's view at the own revision has been compared. Returns whether the
  /// own view must be replaced by a full copy of the peer's.
  bool OnPeer(const common::Endpoint& peer, bool same,
              std::chrono::milliseconds now);

 private:
  /// Peers whose views differ, since the last one that was the same.
  std::set<common::Endpoint> differing;
  std::chrono::milliseconds replace_not_before{0};
};

}  // namespace sassafrasdyke::core

/// Which other failure domains are reachable, as reported by the instances that
/// hold links to them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "core/fleet/peer_plan.h"
#include "core/fleet/versioned_table.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Table traits: one reachability report for each pair (domain, reporter).
struct ReachabilityTraits {
  using Record = ReachabilityReport;
  using Key = std::pair<common::DomainId, common::InstanceId>;

  static Key KeyOf(const Record& record);
  static bool Newer(const Record& left, const Record& right);
  static std::uint64_t HashOf(const Record& record);
};

using ReachabilityTable = VersionedTable<ReachabilityTraits>;

/// Domains that every holder of a link to them reports as unreachable.
std::vector<common::DomainId> UnreachableDomains(
    const PeerPlan& plan, const ReachabilityTable& reports);

/// The next report of `by` on `domain`; the table doesn't change.
ReachabilityReport NextReport(const ReachabilityTable& reports,
                              common::DomainId domain, common::InstanceId by,
                              bool reachable);

}  // namespace sassafrasdyke::core

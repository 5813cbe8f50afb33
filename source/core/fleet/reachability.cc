#include "core/fleet/reachability.h"

#include <algorithm>
#include <tuple>

#include "common/hash.h"

namespace sassafrasdyke::core {

ReachabilityTraits::Key ReachabilityTraits::KeyOf(const Record& record) {
  return {record.domain, record.by};
}

bool ReachabilityTraits::Newer(const Record& left, const Record& right) {
  return std::tuple(left.version, left.reachable) >
         std::tuple(right.version, right.reachable);
}

std::uint64_t ReachabilityTraits::HashOf(const Record& record) {
  const std::uint64_t who =
      common::HashNumbers(record.domain.value, record.by.value, 1);
  return common::HashNumbers(who, record.version, record.reachable ? 1 : 0);
}

std::vector<common::DomainId> UnreachableDomains(
    const PeerPlan& plan, const ReachabilityTable& reports) {
  std::vector<common::DomainId> unreachable;
  for (const auto& [domain, holders] : plan.link_holders) {
    const common::DomainId about = domain;
    // A single broken link isn't a network partition; reporting the domain as
    // unreachable would take over its flows and place them a second time.
    const bool all_say_so =
        !holders.empty() &&
        std::all_of(holders.begin(), holders.end(),
                    [&](common::InstanceId holder) {
                      const auto* report = reports.Find({about, holder});
                      return report != nullptr && !report->reachable;
                    });
    if (all_say_so) {
      unreachable.push_back(domain);
    }
  }
  return unreachable;
}

ReachabilityReport NextReport(const ReachabilityTable& reports,
                              common::DomainId domain, common::InstanceId by,
                              bool reachable) {
  const ReachabilityReport* last = reports.Find({domain, by});
  return {domain, by, last == nullptr ? 1 : last->version + 1, reachable};
}

}  // namespace sassafrasdyke::core

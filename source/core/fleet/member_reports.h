/// The instances' reports on each other's liveness, and the rules by which a
/// suspicion is confirmed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "core/configuration.h"
#include "core/fleet/versioned_table.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Table traits: one member report for each pair (subject, reporter).
struct MemberReportTraits {
  using Record = MemberReport;
  using Key = std::pair<common::InstanceId, common::InstanceId>;

  static Key KeyOf(const Record& record);
  static bool Newer(const Record& left, const Record& right);
  static std::uint64_t HashOf(const Record& record);
};

using MemberReportTable = VersionedTable<MemberReportTraits>;

/// The instances that suspect one instance, sorted by id.
using SuspectingInstances = std::vector<common::InstanceId>;

/// Suspicions of listed instances, by the suspected instance.
struct Suspicions {
  /// Suspicions that the instance's newest report on itself doesn't refute.
  std::map<common::InstanceId, SuspectingInstances> active;
  /// Confirmed suspicions, with the instances that count towards confirmation.
  std::map<common::InstanceId, SuspectingInstances> confirmed;
};

/// The newest known incarnation of `instance`: the listed one, or a later one
/// that has reported on itself.
common::Incarnation CurrentIncarnation(const Instance& instance,
                                       const MemberReportTable& reports);

/// Determines which suspicions are active and which are confirmed. Confirmation
/// takes two instances of the suspected one's failure domain, or one where the
/// domain has no second unsuspected peer or the policy sets one watcher
/// (`watchers`). Instances with the same list, reports and policy get the same
/// result.
Suspicions EvaluateSuspicions(const InstanceList& list,
                              const MemberReportTable& reports,
                              std::size_t watchers);

/// True when subject and reporter are listed and the report isn't on an
/// incarnation older than the listed one.
bool ConcernsListed(const InstanceList& list, const MemberReport& report);

/// The list entry of `id`, or nullptr.
const Instance* FindInstance(const InstanceList& list, common::InstanceId id);

}  // namespace sassafrasdyke::core

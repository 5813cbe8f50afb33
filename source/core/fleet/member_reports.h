/// Everybody's words on the members, and which suspicions are confirmed.
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

/// How member reports are kept: one for each pair of instances.
struct MemberReportTraits {
  using Record = MemberReport;
  using Key = std::pair<common::InstanceId, common::InstanceId>;

  static Key KeyOf(const Record& record);
  static bool Newer(const Record& left, const Record& right);
  static std::uint64_t HashOf(const Record& record);
};

using MemberReportTable = VersionedTable<MemberReportTraits>;

/// The instances that suspect an instance.
using Accusers = std::vector<common::InstanceId>;

/// What the reports say of the listed instances.
struct MemberVerdicts {
  /// Suspicions that hold against the instance's own last word.
  std::map<common::InstanceId, Accusers> accused;
  /// Those that are confirmed, with the instances that confirm them.
  std::map<common::InstanceId, Accusers> confirmed;
};

/// The incarnation of `instance` that is believed: the listed one, or a later
/// one that has spoken for itself.
common::Incarnation BelievedIncarnation(const Instance& instance,
                                        const MemberReportTable& reports);

/// Judges all suspicions. A suspicion is confirmed by two instances of the
/// suspected one's failure domain, or by one where no second unsuspected
/// witness exists or only one is to watch (`watchers`, as published). Everyone
/// with the same list, reports and policy judges alike.
MemberVerdicts Judge(const InstanceList& list, const MemberReportTable& reports,
                     std::size_t watchers);

/// True when the report concerns listed instances and no life before the
/// listed one.
bool Concerns(const InstanceList& list, const MemberReport& report);

/// The entry of `id`, or nothing.
const Instance* FindInstance(const InstanceList& list, common::InstanceId id);

}  // namespace sassafrasdyke::core

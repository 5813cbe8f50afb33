#include "core/fleet/member_reports.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace sassafrasdyke::core {
namespace {

/// Suspecting instances needed before ownership moves.
constexpr std::size_t kConfirmations = 2;

bool IdLess(const Instance& instance, common::InstanceId id) {
  return instance.id.value < id.value;
}

const MemberReport* SelfReport(common::InstanceId id,
                               common::Incarnation incarnation,
                               const MemberReportTable& reports) {
  const MemberReport* own = reports.Find({id, id});
  const bool same_incarnation =
      own != nullptr && own->incarnation == incarnation;
  return same_incarnation ? own : nullptr;
}

/// True when `report` is a suspicion that its subject hasn't refuted.
bool IsActiveSuspicion(const MemberReport& report, const Instance& about,
                       const MemberReportTable& reports) {
  const common::Incarnation current = CurrentIncarnation(about, reports);
  if (report.state != MemberState::kSuspected ||
      report.incarnation != current) {
    return false;
  }
  const MemberReport* own = SelfReport(about.id, current, reports);
  return own == nullptr || report.self_report_version >= own->version;
}

std::map<common::InstanceId, SuspectingInstances> ActiveSuspicions(
    const InstanceList& list, const MemberReportTable& reports) {
  std::map<common::InstanceId, SuspectingInstances> active;
  for (const auto& [key, report] : reports.All()) {
    const Instance* about = FindInstance(list, report.about);
    const Instance* by = FindInstance(list, report.by);
    if (about == nullptr || by == nullptr || about == by ||
        about->domain != by->domain) {
      continue;
    }
    if (IsActiveSuspicion(report, *about, reports)) {
      active[report.about].push_back(report.by);
    }
  }
  return active;
}

/// Counts the listed instances in the domain of `about`, other than `about`,
/// that no instance suspects.
std::size_t CountUnsuspectedPeers(
    const InstanceList& list, const Instance& about,
    const std::map<common::InstanceId, SuspectingInstances>& active) {
  return static_cast<std::size_t>(std::count_if(
      list.instances.begin(), list.instances.end(),
      [&](const Instance& instance) {
        return instance.domain == about.domain && instance.id != about.id &&
               !active.contains(instance.id);
      }));
}

std::set<common::InstanceId> SuspectedByTwo(
    const std::map<common::InstanceId, SuspectingInstances>& active) {
  std::set<common::InstanceId> suspected;
  for (const auto& [about, by] : active) {
    if (by.size() >= kConfirmations) {
      suspected.insert(about);
    }
  }
  return suspected;
}

}  // namespace

MemberReportTraits::Key MemberReportTraits::KeyOf(const Record& record) {
  return {record.about, record.by};
}

bool MemberReportTraits::Newer(const Record& left, const Record& right) {
  return std::tuple(left.incarnation.value, left.version,
                    left.self_report_version, left.state) >
         std::tuple(right.incarnation.value, right.version,
                    right.self_report_version, right.state);
}

std::uint64_t MemberReportTraits::HashOf(const Record& record) {
  const std::uint64_t who =
      common::HashNumbers(record.about.value, record.by.value, 0);
  const std::uint64_t what = common::HashNumbers(
      record.version, static_cast<std::uint64_t>(record.state),
      record.self_report_version);
  return common::HashNumbers(who, what, record.incarnation.value);
}

common::Incarnation CurrentIncarnation(const Instance& instance,
                                       const MemberReportTable& reports) {
  const MemberReport* own = reports.Find({instance.id, instance.id});
  const bool later =
      own != nullptr && own->incarnation.value > instance.incarnation.value;
  return later ? own->incarnation : instance.incarnation;
}

Suspicions EvaluateSuspicions(const InstanceList& list,
                              const MemberReportTable& reports,
                              std::size_t watchers) {
  // With one watcher per instance, a second suspicion never arrives.
  const std::size_t most = std::clamp<std::size_t>(watchers, 1, kConfirmations);
  Suspicions suspicions;
  suspicions.active = ActiveSuspicions(list, reports);
  const std::set<common::InstanceId> suspected_by_two =
      SuspectedByTwo(suspicions.active);
  for (const auto& [about, by] : suspicions.active) {
    SuspectingInstances credible;
    for (const common::InstanceId suspecting : by) {
      // An instance that is itself partitioned off suspects everyone it
      // watches. Its reports arrive once the network recovers; counting them
      // would move many partitions away from healthy owners.
      if (!suspected_by_two.contains(suspecting) ||
          suspected_by_two.contains(about)) {
        credible.push_back(suspecting);
      }
    }
    const Instance* instance = FindInstance(list, about);
    // When two instances of a failure domain of three die together, only one
    // is left to suspect each of them; waiting for a second would leave the
    // flows of both without an owner for good.
    const std::size_t needed = std::clamp<std::size_t>(
        CountUnsuspectedPeers(list, *instance, suspicions.active), 1, most);
    if (credible.size() >= needed) {
      suspicions.confirmed.emplace(about, std::move(credible));
    }
  }
  return suspicions;
}

bool ConcernsListed(const InstanceList& list, const MemberReport& report) {
  const Instance* about = FindInstance(list, report.about);
  return about != nullptr && FindInstance(list, report.by) != nullptr &&
         report.incarnation.value >= about->incarnation.value;
}

const Instance* FindInstance(const InstanceList& list, common::InstanceId id) {
  const auto found = std::lower_bound(list.instances.begin(),
                                      list.instances.end(), id, IdLess);
  return found != list.instances.end() && found->id == id ? &*found : nullptr;
}

}  // namespace sassafrasdyke::core

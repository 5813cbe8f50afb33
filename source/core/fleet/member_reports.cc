#include "core/fleet/member_reports.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace sassafrasdyke::core {
namespace {

/// Ownership moves only when two instances miss the suspected one.
constexpr std::size_t kConfirmations = 2;

bool IdLess(const Instance& instance, common::InstanceId id) {
  return instance.id.value < id.value;
}

const MemberReport* OwnWord(common::InstanceId id,
                            common::Incarnation incarnation,
                            const MemberReportTable& reports) {
  const MemberReport* own = reports.Find({id, id});
  const bool same_life = own != nullptr && own->incarnation == incarnation;
  return same_life ? own : nullptr;
}

/// True when `report` is a suspicion that its subject hasn't answered.
bool Holds(const MemberReport& report, const Instance& about,
           const MemberReportTable& reports) {
  const common::Incarnation life = BelievedIncarnation(about, reports);
  if (report.word != MemberWord::kSuspected || report.incarnation != life) {
    return false;
  }
  const MemberReport* own = OwnWord(about.id, life, reports);
  return own == nullptr || report.own_version >= own->version;
}

std::map<common::InstanceId, Accusers> AccusedOf(
    const InstanceList& list, const MemberReportTable& reports) {
  std::map<common::InstanceId, Accusers> accused;
  for (const auto& [key, report] : reports.All()) {
    const Instance* about = FindInstance(list, report.about);
    const Instance* by = FindInstance(list, report.by);
    if (about == nullptr || by == nullptr || about == by ||
        about->domain != by->domain) {
      continue;
    }
    if (Holds(report, *about, reports)) {
      accused[report.about].push_back(report.by);
    }
  }
  return accused;
}

/// Listed instances of the domain that nobody suspects, without `about`.
std::size_t Witnesses(const InstanceList& list, const Instance& about,
                      const std::map<common::InstanceId, Accusers>& accused) {
  return static_cast<std::size_t>(std::count_if(
      list.instances.begin(), list.instances.end(),
      [&](const Instance& instance) {
        return instance.domain == about.domain && instance.id != about.id &&
               !accused.contains(instance.id);
      }));
}

std::set<common::InstanceId> SuspectedByTwo(
    const std::map<common::InstanceId, Accusers>& accused) {
  std::set<common::InstanceId> suspected;
  for (const auto& [about, by] : accused) {
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
  return std::tuple(left.incarnation.value, left.version, left.own_version,
                    left.word) > std::tuple(right.incarnation.value,
                                            right.version, right.own_version,
                                            right.word);
}

std::uint64_t MemberReportTraits::HashOf(const Record& record) {
  const std::uint64_t who =
      common::HashNumbers(record.about.value, record.by.value, 0);
  const std::uint64_t what = common::HashNumbers(
      record.version, static_cast<std::uint64_t>(record.word),
      record.own_version);
  return common::HashNumbers(who, what, record.incarnation.value);
}

common::Incarnation BelievedIncarnation(const Instance& instance,
                                        const MemberReportTable& reports) {
  const MemberReport* own = reports.Find({instance.id, instance.id});
  const bool later =
      own != nullptr && own->incarnation.value > instance.incarnation.value;
  return later ? own->incarnation : instance.incarnation;
}

MemberVerdicts Judge(const InstanceList& list, const MemberReportTable& reports,
                     std::size_t watchers) {
  // Where the published policy names one watcher, no second will ever speak.
  const std::size_t most = std::clamp<std::size_t>(watchers, 1, kConfirmations);
  MemberVerdicts verdicts;
  verdicts.accused = AccusedOf(list, reports);
  const std::set<common::InstanceId> twice = SuspectedByTwo(verdicts.accused);
  for (const auto& [about, by] : verdicts.accused) {
    Accusers believed;
    for (const common::InstanceId accuser : by) {
      // An instance that is itself cut off suspects everyone it watches. When
      // its words arrive after the cut has healed they would take ownership
      // from healthy instances; one would see a burst of moved partitions.
      if (!twice.contains(accuser) || twice.contains(about)) {
        believed.push_back(accuser);
      }
    }
    const Instance* instance = FindInstance(list, about);
    // In a failure domain of three, of which two died together, each of the
    // two has only one accuser left; waiting for a second would leave the
    // flows of both without an owner for ever.
    const std::size_t needed = std::clamp<std::size_t>(
        Witnesses(list, *instance, verdicts.accused), 1, most);
    if (believed.size() >= needed) {
      verdicts.confirmed.emplace(about, std::move(believed));
    }
  }
  return verdicts;
}

bool Concerns(const InstanceList& list, const MemberReport& report) {
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

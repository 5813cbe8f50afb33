#include "core/health/reported_decisions.h"

#include <algorithm>
#include <optional>

namespace sassafrasdyke::core {
namespace {

/// Whether the decision was made before the target's last ejection ended.
bool IsOutdated(const TargetReport& report, const OutlierRecords& records) {
  const auto ended = records.EjectionEnd(report.target);
  return ended && report.decided_at <= *ended;
}

}  // namespace

ReportedDecisions CollectDecisions(const TargetReports& reports,
                                   const OutlierRecords& records,
                                   const TargetGroups& groups,
                                   const CountsByTarget& counts,
                                   const TargetTable& targets) {
  ReportedDecisions all;
  const auto decides = [&](const TargetReport& one) {
    return one.weight < 1.0 && targets.Has(one.target) &&
           !IsOutdated(one, records);
  };
  for (const auto& [sender, report] : reports.All()) {
    for (const TargetReport& one : report.targets) {
      if (decides(one)) {
        ReportedDecision& reported = all[one.target];
        ++reported.reporters;
        reported.weight = std::max(reported.weight, one.weight);
        reported.decided_at = std::max(reported.decided_at, one.decided_at);
      }
    }
  }
  if (all.empty()) {
    return all;
  }
  std::unordered_map<TargetIndex, TargetEvidence> others;
  for (const auto& [sender, report] : reports.All()) {
    for (const TargetReport& one : report.targets) {
      if (all.contains(one.target) && !decides(one)) {
        others[one.target].sources.push_back(SourceOf(one));
      }
    }
  }
  for (auto& [target, reported] : all) {
    TargetEvidence& seen = others[target];
    if (const auto own = counts.find(target); own != counts.end()) {
      seen.sources.push_back(SourceOf(own->second));
    }
    const TargetGroup& group = groups.at(GroupOf(targets.At(target).published));
    reported.others_see_failures = SupportsOutlier(seen, group.median_ms);
    reported.others_see_answers =
        seen.Total().answers > 0 || AnswersUnlisted(group, target);
  }
  return all;
}

}  // namespace sassafrasdyke::core

#include "core/health/target_evidence.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Own answers that suffice for the median just after a start. The first few
/// may be much shorter than usual.
constexpr double kMinAnswersForMedian = 20;
/// Reports that are younger were made lately.
constexpr milliseconds kRecent{1000};

/// Fills in the mean number of requests that an instance sends to a target,
/// given the sum of the own ones. Where they don't show it, as just after a
/// start or with a faulty link, it is that of the instances that list a target.
/// Those tend to have sent more than the others, which leads to a failure
/// fraction that is rather too small.
void FillMeanRequests(TargetGroup& group, double own_requests, bool knows_rate,
                      double listed_requests, std::size_t listed) {
  group.mean_requests =
      own_requests /
      static_cast<double>(std::max<std::size_t>(group.serving, 1));
  if (listed > 0 && (!knows_rate || own_requests == 0)) {
    group.mean_requests = std::max(
        group.mean_requests, listed_requests / static_cast<double>(listed));
  }
}

/// Sorts the failure fractions of all targets, those that no instance has
/// listed included.
void FillFractions(TargetGroup& group) {
  std::vector<double>& fractions = group.failure_fractions;
  for (const auto& [target, evidence] : group.targets) {
    fractions.push_back(FailureFraction(WholeTotal(group, evidence)));
  }
  if (group.informed > 0 && group.serving > fractions.size()) {
    fractions.resize(group.serving, 0.0);
  }
  std::ranges::sort(fractions);
}

}  // namespace

double FailureFraction(const EvidenceSource& total) {
  return total.requests > 0 ? total.failures / total.requests : 0.0;
}

// By Poisson, an instance that sends `mean_requests` sees nothing bad with the
// probability exp(-mean_requests * bad), where `bad` is the fraction of bad
// requests; of all requests, the others' good ones are left.
double UnlistedRequests(const TargetGroup& group,
                        const TargetEvidence& evidence) {
  if (group.informed <= evidence.reporters || group.mean_requests <= 0) {
    return 0;
  }
  const auto informed = static_cast<double>(group.informed);
  const double listed = static_cast<double>(evidence.reporters) / informed;
  const double bad =
      std::clamp(-std::log1p(-listed) / group.mean_requests, 0.0, 1.0);
  return (informed - static_cast<double>(evidence.reporters)) *
         group.mean_requests * (1.0 - bad);
}

EvidenceSource WholeTotal(const TargetGroup& group,
                          const TargetEvidence& evidence) {
  EvidenceSource total = evidence.Total();
  const double unlisted = UnlistedRequests(group, evidence);
  const double all_ms =
      total.answers * total.mean_ms + unlisted * group.median_ms;
  total.requests += unlisted;
  total.answers += unlisted;
  total.mean_ms = total.answers > 0 ? all_ms / total.answers : 0;
  return total;
}

EvidenceSource SourceOf(const TargetCounts& counts) {
  return {static_cast<double>(counts.requests),
          static_cast<double>(counts.failures),
          static_cast<double>(counts.answers), counts.MeanMs()};
}

EvidenceSource SourceOf(const TargetReport& report) {
  return {static_cast<double>(report.requests),
          static_cast<double>(report.failures),
          static_cast<double>(report.answers), report.mean_ms};
}

EvidenceSource TargetEvidence::Total() const {
  EvidenceSource total;
  double all_ms = 0;
  for (const EvidenceSource& source : this->sources) {
    total.requests += source.requests;
    total.failures += source.failures;
    total.answers += source.answers;
    all_ms += source.answers * source.mean_ms;
  }
  total.mean_ms = total.answers > 0 ? all_ms / total.answers : 0;
  return total;
}

TargetGroups GroupEvidence(const OwnEvidence& own,
                           const TargetReports::BySender& reports,
                           const TargetTable& targets, milliseconds now) {
  struct Requests {
    double own{0};
    double own_answers{0};
    double listed{0};
    std::size_t entries{0};  ///< Of other instances.
  };
  TargetGroups groups;
  std::map<TargetGroupKey, Requests> requests;
  std::map<TargetGroupKey, std::vector<TargetCounts>> own_counts;
  for (const auto& [target, counts] : own.counts) {
    const TargetGroupKey key = GroupOf(targets.At(target).published);
    TargetGroup& group = groups[key];
    group.targets[target].sources.push_back(SourceOf(counts));
    requests[key].own += counts.requests;
    requests[key].own_answers += counts.answers;
    own_counts[key].push_back(counts);
  }
  std::size_t informed = 0;
  std::size_t informed_lately = 0;
  for (const auto& [sender, report] : reports) {
    const bool lately = now - report.received_at <= kRecent;
    informed += report.full ? 0 : 1;
    informed_lately += report.full || !lately ? 0 : 1;
    for (const TargetReport& one : report.targets) {
      if (!targets.Has(one.target)) {
        continue;
      }
      const TargetGroupKey key = GroupOf(targets.At(one.target).published);
      TargetEvidence& evidence = groups[key].targets[one.target];
      Requests& of_group = requests[key];
      of_group.listed += one.requests;
      ++of_group.entries;
      evidence.sources.push_back(SourceOf(one));
      evidence.reporters += report.full ? 0 : 1;
    }
  }
  for (auto& [key, group] : groups) {
    const ServingTargets& serving = targets.ServingByDomain(key.first);
    const auto found = serving.find(key.second);
    group.serving = found == serving.end() ? 0 : found->second.size();
    const Requests& sums = requests[key];
    FillMeanRequests(group, sums.own, own.knows_rate, sums.listed,
                     sums.entries);
    const bool knows_median =
        own.knows_rate || sums.own_answers >= kMinAnswersForMedian;
    group.median_ms = knows_median ? MedianMeanMs(own_counts[key]) : 0;
    group.informed = informed;
    group.informed_lately = informed_lately;
    FillFractions(group);
  }
  return groups;
}

}  // namespace sassafrasdyke::core

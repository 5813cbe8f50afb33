#include "core/health/outlier_rules.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>

namespace sassafrasdyke::core {
namespace {

/// Minimum number of requests or answers: fewer vary too much by chance.
constexpr double kMinSamples = 20;
/// Fraction of failed requests from which a target counts as failing.
constexpr double kFailingFraction = 1.0 / 3.0;
/// Fraction that the others must have seen when one instance sees the most.
constexpr double kSupportingFraction = kFailingFraction / 2;
/// Multiple of the group's median, of failures as of times, that an outlier
/// exceeds.
constexpr double kOutlierFactor = 3.0;

double FailureFraction(const EvidenceSource& total) {
  return total.requests > 0 ? total.failures / total.requests : 0.0;
}

/// Estimates the requests of instances that don't list the target, as they have
/// seen no failures of it. Without them, the few requests of those who have
/// would make a target with rare failures look like a failing one.
///
/// By Poisson, an instance that sends `mean_requests` sees nothing bad with the
/// probability exp(-mean_requests * bad), where `bad` is the fraction of bad
/// requests; of all requests, the others' good ones are left.
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

/// The total with what isn't listed.
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

/// Median of the failure fractions of all targets but one with `own`; 1 without
/// any, so that a single target isn't compared with nothing.
double MedianOfOthers(const TargetGroup& group, double own) {
  const std::vector<double>& fractions = group.failure_fractions;
  if (fractions.size() < 2) {
    return 1.0;
  }
  const auto at = static_cast<std::size_t>(
      std::ranges::lower_bound(fractions, own) - fractions.begin());
  const std::size_t middle = (fractions.size() - 1) / 2;
  return fractions.at(middle < at ? middle : middle + 1);
}

/// The evidence without the source with the highest `badness`; nothing when no
/// other instance has seen an answer of the target, so that one alone counts.
template <typename Badness>
std::optional<TargetEvidence> WithoutWorst(const TargetEvidence& evidence,
                                           Badness badness) {
  if (evidence.sources.empty()) {
    return std::nullopt;
  }
  TargetEvidence rest = evidence;
  const auto worst = std::ranges::max_element(rest.sources, {}, badness);
  rest.sources.erase(worst);
  const bool answered = std::ranges::any_of(
      rest.sources,
      [](const EvidenceSource& source) { return source.answers > 0; });
  const bool more =
      std::ranges::any_of(rest.sources, [&](const EvidenceSource& source) {
        return std::invoke(badness, source) > 0;
      });
  return answered || more ? std::make_optional(std::move(rest)) : std::nullopt;
}

/// Whether at least `least` of the requests fail, and many more than others'.
bool Fails(const TargetGroup& group, const TargetEvidence& evidence,
           double median, double least) {
  const double fraction = FailureFraction(WholeTotal(group, evidence));
  return fraction >= least && fraction > kOutlierFactor * median;
}

bool IsFailing(const TargetGroup& group, const TargetEvidence& evidence) {
  const EvidenceSource total = WholeTotal(group, evidence);
  if (total.requests < kMinSamples) {
    return false;
  }
  const double median = MedianOfOthers(group, FailureFraction(total));
  if (!Fails(group, evidence, median, kFailingFraction)) {
    return false;
  }
  const auto rest = WithoutWorst(evidence, &EvidenceSource::failures);
  return !rest || Fails(group, *rest, median, kSupportingFraction);
}

bool IsSlow(const TargetGroup& group, const TargetEvidence& evidence) {
  const EvidenceSource total = WholeTotal(group, evidence);
  const double least_ms = kOutlierFactor * group.median_ms;
  if (group.median_ms <= 0 || total.answers < kMinSamples ||
      total.mean_ms <= least_ms) {
    return false;
  }
  const auto excess = [&](const EvidenceSource& source) {
    return std::max(source.answers * (source.mean_ms - least_ms), 0.0);
  };
  const auto rest = WithoutWorst(evidence, excess);
  return !rest || WholeTotal(group, *rest).Slow(group.median_ms);
}

}  // namespace

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

std::map<TargetGroupKey, TargetGroup> GroupEvidence(
    const CountsByTarget& own, const TargetReports::BySender& reports,
    const TargetTable& targets) {
  std::map<TargetGroupKey, TargetGroup> groups;
  std::map<TargetGroupKey, std::vector<TargetCounts>> own_counts;
  for (const auto& [target, counts] : own) {
    const TargetGroupKey key = GroupOf(targets.At(target).published);
    TargetGroup& group = groups[key];
    group.targets[target].sources.push_back(
        {static_cast<double>(counts.requests),
         static_cast<double>(counts.failures),
         static_cast<double>(counts.answers), counts.MeanMs()});
    group.mean_requests += counts.requests;
    own_counts[key].push_back(counts);
  }
  std::size_t informed = 0;
  for (const auto& [sender, report] : reports) {
    informed += report.full ? 0 : 1;
    for (const TargetReport& one : report.targets) {
      if (!targets.Has(one.target)) {
        continue;
      }
      TargetEvidence& evidence =
          groups[GroupOf(targets.At(one.target).published)].targets[one.target];
      evidence.sources.push_back(
          {static_cast<double>(one.requests), static_cast<double>(one.failures),
           static_cast<double>(one.answers), one.mean_ms});
      evidence.reporters += report.full ? 0 : 1;
    }
  }
  for (auto& [key, group] : groups) {
    const ServingTargets& serving = targets.ServingByDomain(key.first);
    const auto found = serving.find(key.second);
    group.serving = found == serving.end() ? 0 : found->second.size();
    group.mean_requests /=
        static_cast<double>(std::max<std::size_t>(group.serving, 1));
    group.median_ms = MedianMeanMs(own_counts[key]);
    group.informed = informed;
    FillFractions(group);
  }
  return groups;
}

OutlierVerdict Judge(const TargetGroup& group, TargetIndex target) {
  OutlierVerdict verdict;
  verdict.median_ms = group.median_ms;
  const auto found = group.targets.find(target);
  if (found == group.targets.end()) {
    return verdict;
  }
  const EvidenceSource total = WholeTotal(group, found->second);
  verdict.requests = total.requests;
  verdict.failures = total.failures;
  verdict.answers = total.answers;
  verdict.mean_ms = total.mean_ms;
  verdict.reporters = found->second.sources.size();
  if (IsFailing(group, found->second)) {
    verdict.state = OutlierState::kFailing;
    verdict.weight = 0;
  } else if (IsSlow(group, found->second)) {
    verdict.state = OutlierState::kSlow;
    verdict.weight = group.median_ms / total.mean_ms;
  }
  return verdict;
}

}  // namespace sassafrasdyke::core

#include "core/health/outlier_rules.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Minimum number of requests or answers: fewer vary too much by chance.
constexpr double kMinSamples = 20;
/// Fraction of failed requests from which a target counts as failing.
constexpr double kFailingFraction = 1.0 / 3.0;
/// Fraction that the others must have seen when one instance sees the most.
constexpr double kSupportingFraction = kFailingFraction / 2;
/// Failures, if also a third of the requests, after which a returning target is
/// ejected again.
constexpr double kFailuresOfReturning = 2;
/// Number of requests of which, by Poisson, at least one has been sent with a
/// probability of 95%.
constexpr double kProbablyOne = 3.0;
constexpr milliseconds kRecent{1000};
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

/// Whether instances that don't list the target have probably seen its answers.
/// Reports of over a second ago show little about a target that has just begun
/// to fail.
bool ProbablyAnswered(const TargetGroup& group,
                      const TargetEvidence& evidence) {
  return group.informed > 0 &&
         UnlistedRequests(group, evidence) *
                 static_cast<double>(group.informed_lately) >=
             kProbablyOne * static_cast<double>(group.informed);
}

/// The evidence without the source with the highest `badness`; nothing when no
/// other instance has seen an answer of the target, so that one alone counts.
template <typename Badness>
std::optional<TargetEvidence> WithoutWorst(const TargetGroup& group,
                                           const TargetEvidence& evidence,
                                           Badness badness) {
  if (evidence.sources.empty()) {
    return std::nullopt;
  }
  TargetEvidence rest = evidence;
  const auto worst = std::ranges::max_element(rest.sources, {}, badness);
  rest.sources.erase(worst);
  const bool answered =
      ProbablyAnswered(group, evidence) || rest.Total().answers > 0;
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
  const auto rest = WithoutWorst(group, evidence, &EvidenceSource::failures);
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
  const auto rest = WithoutWorst(group, evidence, excess);
  return !rest || WholeTotal(group, *rest).Slow(group.median_ms);
}

}  // namespace

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

std::map<TargetGroupKey, TargetGroup> GroupEvidence(
    const OwnEvidence& own, const TargetReports::BySender& reports,
    const TargetTable& targets, milliseconds now) {
  struct Requests {
    double own{0};
    double listed{0};
    std::size_t entries{0};  ///< Of other instances.
  };
  std::map<TargetGroupKey, TargetGroup> groups;
  std::map<TargetGroupKey, Requests> requests;
  std::map<TargetGroupKey, std::vector<TargetCounts>> own_counts;
  for (const auto& [target, counts] : own.counts) {
    const TargetGroupKey key = GroupOf(targets.At(target).published);
    TargetGroup& group = groups[key];
    group.targets[target].sources.push_back(SourceOf(counts));
    requests[key].own += counts.requests;
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
    group.median_ms = MedianMeanMs(own_counts[key]);
    group.informed = informed;
    group.informed_lately = informed_lately;
    FillFractions(group);
  }
  return groups;
}

bool FailsAgain(const TargetEvidence& since_return) {
  const EvidenceSource total = since_return.Total();
  if (total.failures < kFailuresOfReturning ||
      FailureFraction(total) < kFailingFraction) {
    return false;
  }
  TargetEvidence others = since_return;
  others.sources.erase(
      std::ranges::max_element(others.sources, {}, &EvidenceSource::failures));
  const EvidenceSource rest = others.Total();
  return rest.requests == 0 || FailureFraction(rest) >= kSupportingFraction;
}

bool AnswersUnlisted(const TargetGroup& group, TargetIndex target) {
  const auto found = group.targets.find(target);
  return found != group.targets.end() && ProbablyAnswered(group, found->second);
}

bool SupportsOutlier(const TargetEvidence& evidence, double median_ms) {
  const EvidenceSource total = evidence.Total();
  return FailureFraction(total) >= kSupportingFraction ||
         (median_ms > 0 && total.Slow(median_ms));
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

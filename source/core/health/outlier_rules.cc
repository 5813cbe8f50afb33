#include "core/health/outlier_rules.h"

#include <algorithm>
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
/// Failures, if also a third of the requests, after which a returning target is
/// ejected again.
constexpr double kFailuresOfReturning = 2;
/// Number of requests of which, by Poisson, at least one has been sent with a
/// probability of 95%.
constexpr double kProbablyOne = 3.0;
/// Multiple of the group's median, of failures as of times, that an outlier
/// exceeds.
constexpr double kOutlierFactor = 3.0;

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

OutlierEvaluation Evaluate(const TargetGroup& group, TargetIndex target) {
  OutlierEvaluation evaluation;
  evaluation.median_ms = group.median_ms;
  const auto found = group.targets.find(target);
  if (found == group.targets.end()) {
    return evaluation;
  }
  const EvidenceSource total = WholeTotal(group, found->second);
  evaluation.requests = total.requests;
  evaluation.failures = total.failures;
  evaluation.answers = total.answers;
  evaluation.mean_ms = total.mean_ms;
  evaluation.reporters = found->second.sources.size();
  if (IsFailing(group, found->second)) {
    evaluation.state = OutlierState::kFailing;
    evaluation.weight = 0;
  } else if (IsSlow(group, found->second)) {
    evaluation.state = OutlierState::kSlow;
    evaluation.weight = group.median_ms / total.mean_ms;
  }
  return evaluation;
}

}  // namespace sassafrasdyke::core

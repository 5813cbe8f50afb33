#include "core/health/urgent_digests.h"

#include <algorithm>
#include <utility>

#include "core/health/random_draw.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Minimum time between two urgent digests to the readers.
constexpr milliseconds kUrgentInterval{500};
/// Number of instances of a domain that send such a digest in each interval.
constexpr double kMaxUrgentSenders = 30;
/// Urgent digests to the readers: six at once, then one in ten seconds. Some
/// requests always fail, and must not cost a digest each.
constexpr std::size_t kTokensOfDigest = 10;
constexpr common::BucketLimits kUrgentDigests{1, 6 * kTokensOfDigest};
/// Answers this many medians above what is notable are worth an urgent digest.
constexpr double kAlarmingExcess = 8.0;

}  // namespace

UrgentDigests::UrgentDigests(const TargetTable& targets,
                             const TargetReports& reports, Jitter& random)
    : targets(targets),
      reports(reports),
      random(random),
      reader_digests(kUrgentDigests) {}

void UrgentDigests::OnOutlier(TargetIndex target,
                              std::optional<Time> former_end) {
  if (!this->IsReported(target, former_end)) {
    this->receivers = UrgentReceivers::kDomain;
  }
}

bool UrgentDigests::IsReported(TargetIndex target,
                               std::optional<Time> former_end) const {
  const Time since = former_end.value_or(Time::min());
  return std::ranges::any_of(this->reports.All(), [&](const auto& entry) {
    return std::ranges::any_of(
        entry.second.targets, [&](const TargetReport& one) {
          return one.target == target && one.decided_at > since &&
                 (one.silent || one.weight < 1.0);
        });
  });
}

// Readers get more digests than others, but too few to detect an outlier within
// two seconds. An instance that sees failures of a target that isn't known to
// be one tells them at once.
void UrgentDigests::OnTick(const CountsByTarget& counts,
                           const TargetGroups& groups,
                           const TargetWeights& weights, double instances,
                           Time now) {
  if (this->receivers || (this->readers_notified_at &&
                          now - *this->readers_notified_at < kUrgentInterval)) {
    return;
  }
  const bool alarming = std::ranges::any_of(counts, [&](const auto& entry) {
    const auto& [target, sum] = entry;
    if (weights.StateOf(target) != OutlierState::kHealthy) {
      return false;
    }
    const double median_ms =
        groups.at(GroupOf(this->targets.At(target).published)).median_ms;
    const double excess =
        sum.answers_ms - kNotableSlowness * median_ms * sum.answers;
    return sum.failures > 0 ||
           (median_ms > 0 && excess > kAlarmingExcess * median_ms);
  });
  if (!alarming || !this->reader_digests.Take(kTokensOfDigest, now)) {
    return;
  }
  this->readers_notified_at = now;
  if (Draw(this->random, kMaxUrgentSenders / instances)) {
    this->receivers = UrgentReceivers::kReaders;
  }
}

std::optional<UrgentReceivers> UrgentDigests::Take() {
  return std::exchange(this->receivers, std::nullopt);
}

}  // namespace sassafrasdyke::core

#include "core/health/target_observations.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>
#include <unordered_set>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Periods are counted in parts, the last of which is the present.
constexpr milliseconds kPart{250};
constexpr std::int64_t kParts = kLongPeriod / kPart;
/// After a pause clients repeat what they sent meanwhile, which shows nothing
/// about targets.
constexpr milliseconds kIgnoredAfterPause{1000};
/// A target shows failures when at least this fraction of its requests fails.
/// Few clients reset flows without a fault of the target.
constexpr double kNotableFailures = 0.1;
/// Number of used targets from which a majority with failures shows that the
/// link of this instance is faulty, rather than one of few targets.
constexpr std::size_t kMinTargetsToCompare = 3;
/// Weight of the newest round trip in the moving average.
constexpr double kNewestWeight = 0.1;

bool ShowsFailures(const TargetCounts& counts) {
  return counts.failures > 0 &&
         counts.failures >= kNotableFailures * counts.requests;
}

/// Whether failures are more likely this instance's own.
bool MostFail(const CountsByTarget& counts) {
  const auto failing = static_cast<std::size_t>(std::ranges::count_if(
      counts, [](const auto& entry) { return ShowsFailures(entry.second); }));
  return counts.size() >= kMinTargetsToCompare && 2 * failing > counts.size();
}

}  // namespace

TargetGroupKey GroupOf(const PublishedTarget& target) {
  return {target.service, target.domain};
}

double MedianMeanMs(const std::vector<TargetCounts>& group) {
  std::vector<double> means;
  for (const TargetCounts& counts : group) {
    if (counts.answers > 0) {
      means.push_back(counts.MeanMs());
    }
  }
  if (means.empty()) {
    return 0;
  }
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::ranges::nth_element(means, middle);
  return *middle;
}

void TargetObservations::OnOpening(TargetIndex target, milliseconds now) {
  if (TargetCounts* const counts = this->Present(target, now)) {
    ++counts->requests;
  }
  ++this->histories[target].openings;
}

void TargetObservations::OnRequest(TargetIndex target, milliseconds now) {
  if (TargetCounts* const counts = this->Present(target, now)) {
    ++counts->requests;
  }
}

void TargetObservations::OnAnswer(TargetIndex target,
                                  const AnswerTiming& timing,
                                  milliseconds now) {
  const double network_ms = this->RoundTripMs(target, timing);
  TargetCounts* const counts = this->Present(target, now);
  if (counts == nullptr || network_ms < 0) {
    return;
  }
  ++counts->answers;
  counts->answers_ms +=
      std::max(static_cast<double>(timing.took.count()) - network_ms, 0.0);
}

// Times of requests on open flows contain an unknown network time. Without them
// a service whose flows are long-lived would have almost no times; the mean of
// others to the same domain is close, as callers are near their instance.
double TargetObservations::RoundTripMs(TargetIndex target,
                                       const AnswerTiming& timing) {
  const std::string& domain = this->targets.At(target).published.domain;
  const auto found = this->round_trips.find(domain);
  if (timing.round_trip == milliseconds{0}) {
    return found == this->round_trips.end() ? -1.0 : found->second;
  }
  const auto newest_ms = static_cast<double>(timing.round_trip.count());
  if (found == this->round_trips.end()) {
    this->round_trips.emplace(domain, newest_ms);
  } else {
    found->second += kNewestWeight * (newest_ms - found->second);
  }
  return static_cast<double>(timing.NetworkTime().count());
}

void TargetObservations::OnUnanswered(TargetIndex target, milliseconds now) {
  if (TargetCounts* const counts = this->Present(target, now)) {
    ++counts->failures;
  }
}

void TargetObservations::OnClientReset(TargetIndex target, milliseconds now) {
  this->OnUnanswered(target, now);
}

void TargetObservations::OnPause(milliseconds now) {
  this->histories.clear();
  this->counts_from = now + kIgnoredAfterPause;
  this->counting_since.reset();
}

TargetCounts* TargetObservations::Present(TargetIndex target,
                                          milliseconds now) {
  if (now < this->counts_from) {
    return nullptr;
  }
  if (!this->counting_since) {
    this->counting_since = now;
  }
  const std::int64_t number = now / kPart;
  Bucket& bucket = this->histories[target].buckets.at(
      static_cast<std::size_t>(number) % kBuckets);
  if (bucket.number != number) {
    bucket = {number, {}};
  }
  return &bucket.counts;
}

TargetCounts TargetObservations::Sum(const History& history,
                                     std::int64_t present, std::int64_t first,
                                     std::int64_t parts) {
  TargetCounts sum;
  for (const auto& [number, counts] : history.buckets) {
    if (number < first) {
      continue;
    }
    if (number < present && number >= present - parts) {
      sum.requests += counts.requests;
    }
    if (number > present - parts) {
      sum.failures += counts.failures;
    }
    if (number > present - kParts) {
      sum.answers += counts.answers;
      sum.answers_ms += counts.answers_ms;
    }
  }
  // The request of a failure may have left the period already.
  sum.requests = std::max(sum.requests, sum.failures);
  return sum;
}

void TargetObservations::Expire(milliseconds now) {
  // While nothing is counted, all histories are empty but for the openings,
  // which limit trial flows.
  if (now < this->counts_from) {
    return;
  }
  std::erase_if(this->histories, [now](const auto& entry) {
    return std::ranges::all_of(entry.second.buckets,
                               [now](const Bucket& bucket) {
                                 return bucket.number < now / kPart - kParts;
                               });
  });
}

CountsByTarget TargetObservations::Counts(milliseconds now,
                                          milliseconds period) const {
  CountsByTarget counts;
  for (const auto& [target, history] : this->histories) {
    const TargetCounts sum = Sum(history, now / kPart, 0, period / kPart);
    if (sum.requests + sum.answers > 0 && this->targets.Has(target)) {
      counts.emplace(target, sum);
    }
  }
  if (MostFail(counts)) {
    counts.clear();
  }
  return counts;
}

bool TargetObservations::KnowsRate(milliseconds now) const {
  return this->counting_since &&
         now - *this->counting_since >= kLongPeriod + kPart;
}

TargetCounts TargetObservations::CountsOf(TargetIndex target, milliseconds now,
                                          milliseconds since) const {
  const auto found = this->histories.find(target);
  return found == this->histories.end()
             ? TargetCounts{}
             : Sum(found->second, now / kPart,
                   (since + kPart - milliseconds{1}) / kPart, kParts);
}

std::uint32_t TargetObservations::Openings(TargetIndex target) const {
  const auto found = this->histories.find(target);
  return found == this->histories.end() ? 0 : found->second.openings;
}

std::vector<TargetObservation> TargetObservations::Worst(
    std::vector<TargetStatus> listed, milliseconds now,
    milliseconds period) const {
  const CountsByTarget counts = this->Counts(now, period);
  std::ranges::sort(listed, [](const auto& a, const auto& b) {
    return std::tuple(!a.silent, a.weight, a.age, a.target) <
           std::tuple(!b.silent, b.weight, b.age, b.target);
  });
  std::unordered_set<TargetIndex> reported;
  for (const TargetStatus& status : listed) {
    reported.insert(status.target);
  }
  for (const TargetIndex target : this->Notable(counts)) {
    if (!reported.contains(target)) {
      listed.push_back({target});
    }
  }
  std::vector<TargetObservation> worst;
  for (const TargetStatus& status : listed) {
    if (worst.size() < kMaxTargetObservations &&
        this->targets.Has(status.target)) {
      worst.push_back(this->EntryOf(status, counts));
    }
  }
  return worst;
}

TargetObservation TargetObservations::EntryOf(
    const TargetStatus& status, const CountsByTarget& counts) const {
  const auto found = counts.find(status.target);
  const TargetCounts sum =
      found == counts.end() ? TargetCounts{} : found->second;
  return {this->targets.At(status.target).published.number,
          sum.requests,
          sum.failures,
          sum.answers,
          milliseconds(std::llround(sum.MeanMs())),
          status.silent,
          status.weight,
          status.age};
}

std::vector<TargetIndex> TargetObservations::Notable(
    const CountsByTarget& counts) const {
  std::map<TargetGroupKey, std::vector<TargetCounts>> groups;
  for (const auto& [target, sum] : counts) {
    groups[GroupOf(this->targets.At(target).published)].push_back(sum);
  }
  std::map<TargetGroupKey, double> medians;
  for (const auto& [key, group] : groups) {
    medians[key] = MedianMeanMs(group);
  }
  /// Failures and the excess of all answer times, for descending order.
  using Badness = std::tuple<std::uint32_t, double, TargetIndex>;
  std::vector<Badness> notable;
  for (const auto& [target, sum] : counts) {
    const double median = medians[GroupOf(this->targets.At(target).published)];
    const double excess = sum.answers_ms - kNotableSlowness * median *
                                               static_cast<double>(sum.answers);
    if (sum.failures > 0 || excess > 0) {
      notable.emplace_back(sum.failures, excess, target);
    }
  }
  std::ranges::sort(notable, std::greater<>());
  std::vector<TargetIndex> worst;
  std::ranges::transform(notable, std::back_inserter(worst),
                         [](const Badness& one) { return std::get<2>(one); });
  return worst;
}

}  // namespace sassafrasdyke::core

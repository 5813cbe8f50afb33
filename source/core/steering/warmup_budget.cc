#include "core/steering/warmup_budget.h"

#include <algorithm>
#include <cmath>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// The published rate applies to any window of this length.
constexpr milliseconds kRateWindow{1000};
/// How long an instance may place one flow at a cold target, once in a period.
constexpr milliseconds kOpenWindow{250};
/// A smaller fleet is believed only after this time: members that were lost may
/// be cut off from this instance and still place flows.
constexpr milliseconds kFleetMemory{60'000};
/// An instance that started less than this ago doesn't know all others yet.
constexpr milliseconds kFleetKnownAfter{15'000};
/// Assumed meanwhile: the largest supported fleet.
constexpr std::size_t kLargestFleet = 1024;
/// Bound of the probability that a window has too many flows, as the negative
/// of its natural logarithm (1e-7).
constexpr double kMinExponent = 16.1;
constexpr std::uint64_t kPhaseSalt = 0x7761726DULL;

/// Kullback-Leibler divergence of Bernoulli distributions, 0 < p <= a < 1.
double Divergence(double a, double p) {
  return a * std::log(a / p) + (1.0 - a) * std::log((1.0 - a) / (1.0 - p));
}

}  // namespace

// Chernoff's bound of the binomial distribution's tail: the probability of at
// least `a * n` of `n` is at most exp(-n * Divergence(a, p)).
double SafeMeanFlows(std::size_t instances, double bound) {
  const auto n = static_cast<double>(instances);
  const double too_many = std::floor(bound) + 1.0;
  if (too_many > n) {
    return n;
  }
  const double a = std::min(too_many / n, 1.0 - 1e-9);
  double low = 0.0;
  double high = a;
  constexpr int kSteps = 40;
  for (int i = 0; i < kSteps; ++i) {
    const double p = (low + high) / 2;
    (p > 0 && n * Divergence(a, p) >= kMinExponent ? low : high) = p;
  }
  return n * low;
}

void WarmupBudget::OnFleetSize(std::size_t instances, milliseconds now) {
  if (instances >= this->instances || now - this->instances_at > kFleetMemory) {
    this->instances = std::max<std::size_t>(instances, 1);
    this->instances_at = now;
  }
}

std::size_t WarmupBudget::Instances(milliseconds now) const {
  return now < kFleetKnownAfter ? std::max(this->instances, kLargestFleet)
                                : this->instances;
}

std::optional<double> WarmupBudget::RateOf(TargetIndex target,
                                           milliseconds now) const {
  if (!this->targets.AnyCold(now)) {
    return std::nullopt;
  }
  const PublishedTarget& published = this->targets.At(target).published;
  if (published.cold_until <= now) {
    return std::nullopt;
  }
  return this->routes.WarmupRate(published.service);
}

bool WarmupBudget::Allows(TargetIndex target, milliseconds now) const {
  const auto rate = this->RateOf(target, now);
  if (!rate) {
    return true;
  }
  const auto found = this->placed.find(target);
  const auto instances = static_cast<double>(this->Instances(now));
  if (instances > *rate) {
    const auto start = this->WindowStart(target, *rate, now);
    return start &&
           (found == this->placed.end() || found->second.back() < *start);
  }
  // Each instance has a whole number of flows in any second, so that the sum
  // can't exceed the rate.
  const auto each = static_cast<std::size_t>(*rate / instances);
  const auto recent =
      found == this->placed.end()
          ? 0
          : std::ranges::count_if(found->second, [now](milliseconds at) {
              return now - at <= kRateWindow;
            });
  return static_cast<std::size_t>(recent) < each;
}

double WarmupBudget::MeanFlows(std::size_t instances, double bound) const {
  constexpr std::size_t kMaxResults = 64;
  if (this->mean_flows.size() > kMaxResults) {
    this->mean_flows.clear();
  }
  const auto [result, added] =
      this->mean_flows.try_emplace({instances, bound}, 0.0);
  if (added) {
    result->second = SafeMeanFlows(instances, bound);
  }
  return result->second;
}

// With less than one flow a second for each instance, each may place one in a
// short window of a longer period. The windows of different instances and
// targets lie at independent random places, so that callers who come all at
// once find few of them open.
std::optional<milliseconds> WarmupBudget::WindowStart(TargetIndex target,
                                                      double rate,
                                                      milliseconds now) const {
  const std::size_t instances = this->Instances(now);
  const double bound = rate * this->tolerance.excess + this->tolerance.slack;
  const double mean = std::min(this->MeanFlows(instances, bound), rate);
  // A flow of the window lies in a given second with this mean.
  const auto period_ms = static_cast<std::uint64_t>(
      static_cast<double>(instances) *
      static_cast<double>((kRateWindow + kOpenWindow).count()) /
      std::max(mean, 1e-3));
  const std::uint64_t number = this->targets.At(target).published.number.value;
  const std::uint64_t phase =
      common::HashNumbers(this->seed, number, kPhaseSalt) % period_ms;
  const std::uint64_t into =
      (static_cast<std::uint64_t>(now.count()) + phase) % period_ms;
  if (into >= static_cast<std::uint64_t>(kOpenWindow.count())) {
    return std::nullopt;
  }
  return now - milliseconds(into);
}

void WarmupBudget::OnPlaced(TargetIndex target, milliseconds now) {
  if (!this->Limits(target, now)) {
    this->placed.erase(target);
    return;
  }
  std::deque<milliseconds>& times = this->placed[target];
  while (!times.empty() && now - times.front() > kRateWindow) {
    times.pop_front();
  }
  times.push_back(now);
}

}  // namespace sassafrasdyke::core

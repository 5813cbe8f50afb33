#include "rig/load/load_demand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "common/hash.h"
#include "core/fleet/jitter.h"

namespace sassafrasdyke::rig {
namespace {

using Time = std::chrono::microseconds;
using std::chrono::milliseconds;

/// Seed salts. Callers have their own, so that scenarios without any draw the
/// same arrivals and work as before there were callers.
constexpr std::uint64_t kArrivalSalt = 0x61727276;
constexpr std::uint64_t kCallerSalt = 0x63616C6C;

/// Heavy callers: one in this many, with this part of the requests.
constexpr std::uint32_t kCallersPerHeavyOne = 20;
constexpr double kHeavyPart = 0.5;

double Uniform(core::Jitter& random) {
  constexpr std::uint64_t kSteps = 1U << 30U;
  return (static_cast<double>(random.Below(kSteps)) + 0.5) / kSteps;
}

bool IsOn(const LoadEvent& event, LoadTrouble trouble, double at_s) {
  const std::chrono::duration<double> at(at_s);
  return event.trouble == trouble && at >= event.at &&
         at < event.at + event.lasts;
}

bool HeavyNow(const LoadScenario& scenario, double at_s) {
  return std::ranges::any_of(scenario.events, [&](const LoadEvent& event) {
    return IsOn(event, LoadTrouble::kHeavy, at_s);
  });
}

/// Requests per second that the instances of `domain` get.
double RateOf(const LoadScenario& scenario, std::size_t domain, double at_s) {
  double rate = scenario.domains[domain].requests_per_s;
  for (const LoadEvent& event : scenario.events) {
    const std::size_t next = (event.domain + 1) % scenario.domains.size();
    if (IsOn(event, LoadTrouble::kHeavy, at_s) ||
        (IsOn(event, LoadTrouble::kUneven, at_s) && domain == event.domain)) {
      rate *= event.factor;
    } else if (IsOn(event, LoadTrouble::kMove, at_s) && next != event.domain) {
      const double moved =
          event.share * scenario.domains[event.domain].requests_per_s;
      rate += domain == next ? moved : domain == event.domain ? -moved : 0;
    }
  }
  return std::max(rate, 0.0);
}

/// The next time after `at_s` at which a rate may change.
double NextChange(const LoadScenario& scenario, double at_s) {
  double next = std::chrono::duration<double>(scenario.length).count();
  for (const LoadEvent& event : scenario.events) {
    for (const milliseconds edge : {event.at, event.at + event.lasts}) {
      const double edge_s = std::chrono::duration<double>(edge).count();
      next = edge_s > at_s ? std::min(next, edge_s) : next;
    }
  }
  return next;
}

/// Selects the callers of one domain's requests.
class Callers {
 public:
  Callers(const LoadScenario& scenario, std::size_t domain)
      : scenario(scenario),
        count(scenario.callers),
        heavy((count + kCallersPerHeavyOne - 1) / kCallersPerHeavyOne),
        first(static_cast<std::uint32_t>(domain) * count),
        random(common::HashNumbers(scenario.seed, domain, kCallerSalt)) {}

  void Select(LoadArrival& arrival) {
    if (this->count == 0) {
      return;
    }
    const double at_s = std::chrono::duration<double>(arrival.at).count();
    const bool from_heavy =
        HeavyNow(this->scenario, at_s) && Uniform(this->random) < kHeavyPart;
    const std::uint64_t caller =
        this->random.Below(from_heavy ? this->heavy : this->count);
    arrival.caller = this->first + static_cast<std::uint32_t>(caller);
    arrival.heavy = caller < this->heavy;
    // A caller keeps its flows for all of its requests or for none.
    arrival.keeps_flow =
        static_cast<double>(common::HashNumbers(caller, 0, kCallerSalt) % 100) <
        this->scenario.long_flows * 100;
  }

 private:
  const LoadScenario& scenario;
  const std::uint32_t count;
  const std::uint32_t heavy;
  const std::uint32_t first;
  core::Jitter random;
};

/// The time at which requests worth `due` expected ones have come after `at_s`.
double Advance(const LoadScenario& scenario, std::size_t domain, double at_s,
               double due) {
  const double end_s = std::chrono::duration<double>(scenario.length).count();
  while (at_s < end_s) {
    const double rate = RateOf(scenario, domain, at_s);
    const double next = NextChange(scenario, at_s);
    if (rate > 0 && at_s + due / rate < next) {
      return at_s + due / rate;
    }
    due -= rate * (next - at_s);
    at_s = next;
  }
  return end_s;
}

Time DrawWork(const LoadService& service, core::Jitter& random) {
  const double radius = std::sqrt(-2 * std::log(Uniform(random)));
  const double normal =
      radius * std::cos(2 * std::numbers::pi * Uniform(random));
  const double sigma = service.work_spread;
  const double work_ms =
      service.work_ms * std::exp(sigma * normal - sigma * sigma / 2);
  return Time(static_cast<Time::rep>(work_ms * 1e3));
}

}  // namespace

std::vector<LoadArrival> DrawArrivals(const LoadScenario& scenario) {
  core::Jitter random(common::HashNumbers(scenario.seed, 0, kArrivalSalt));
  std::vector<LoadArrival> arrivals;
  for (std::size_t d = 0; d < scenario.domains.size(); ++d) {
    if (scenario.domains[d].requests_per_s <= 0) {
      continue;
    }
    Callers callers(scenario, d);
    double at_s = 0;
    while (true) {
      at_s = Advance(scenario, d, at_s, -std::log(Uniform(random)));
      const Time at(static_cast<Time::rep>(at_s * 1e6));
      if (at >= scenario.length) {
        break;
      }
      LoadArrival& arrival = arrivals.emplace_back();
      arrival.domain = d;
      arrival.at = at;
      arrival.work = DrawWork(scenario.service, random);
      arrival.caller = static_cast<std::uint32_t>(arrivals.size() - 1);
      callers.Select(arrival);
    }
  }
  return arrivals;
}

}  // namespace sassafrasdyke::rig

#include "core/load/load_meter.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Weight of an answer after 100 ms: the mean spans about a second. While no
/// further answers come, the last ones remain valid.
constexpr double kDecay = 0.9;
/// A mean with less weight is outdated: the last answer was about 30 s ago.
constexpr double kMinWeight = 1e-14;
/// Groups at most, a service in a domain each. When it is reached, all are
/// cleared, so that services withdrawn long ago take no memory.
constexpr std::size_t kMaxGroups = 4096;
/// After this many intervals the groups of targets are looked up again, since a
/// target may be published with another service.
constexpr std::int64_t kLookupIntervals = 10;

constexpr double kMillisecondsPerSecond = 1000.0;

double Millis(milliseconds time) { return static_cast<double>(time.count()); }

}  // namespace

bool LoadMeter::DecayingMean::Known() const {
  return this->weight > kMinWeight;
}

void LoadMeter::OnPause(milliseconds now) {
  this->Clear();
  this->interval = now / kInterval;
  this->first_interval = this->interval + 1;
}

void LoadMeter::Clear() {
  this->groups.clear();
  this->groups_by_name.clear();
  this->groups_by_target.clear();
}

void LoadMeter::Count(TargetIndex target, milliseconds now) {
  this->Advance(now);
  if (const auto group = this->GroupOf(target)) {
    const auto at = static_cast<std::size_t>(this->interval) % kIntervals;
    ++this->groups[*group].requests[at];
  }
}

// `took` spans two round trips for the first request of a flow, and one for
// each further request.
void LoadMeter::OnAnswer(TargetIndex target, const AnswerTiming& timing,
                         milliseconds now) {
  this->Advance(now);
  const auto id = this->GroupOf(target);
  if (!id) {
    return;
  }
  Group& group = this->groups[*id];
  if (timing.round_trip > milliseconds{0}) {
    group.round_trip_ms.Add(Millis(timing.round_trip));
    group.time_ms.Add(Millis(timing.TimeAtTarget()));
  } else {
    group.time_ms.Add(
        std::max(Millis(timing.took) - this->RoundTripOf(group), 0.0));
  }
}

double LoadMeter::RoundTripOf(const Group& group) const {
  if (group.round_trip_ms.Known()) {
    return group.round_trip_ms.Value();
  }
  const auto other =
      std::ranges::find_if(this->groups, [&group](const Group& one) {
        return one.domain == group.domain && one.round_trip_ms.Known();
      });
  return other == this->groups.end() ? 0.0 : other->round_trip_ms.Value();
}

std::optional<LoadMeter::GroupId> LoadMeter::GroupOf(TargetIndex target) {
  if (const auto found = this->groups_by_target.find(target);
      found != this->groups_by_target.end()) {
    return found->second;
  }
  if (!this->targets.Has(target)) {
    return std::nullopt;
  }
  if (this->groups.size() >= kMaxGroups) {
    this->Clear();
  }
  const PublishedTarget& published = this->targets.At(target).published;
  const auto [group, added] = this->groups_by_name.try_emplace(
      {published.service, published.domain}, this->groups.size());
  if (added) {
    this->groups.push_back(
        {ServiceKeyOf(published.service), published.domain, {}, {}, {}});
  }
  this->groups_by_target.emplace(target, group->second);
  return group->second;
}

void LoadMeter::Advance(milliseconds now) {
  const std::int64_t current = now / kInterval;
  if (current <= this->interval) {
    return;
  }
  const std::int64_t passed = current - this->interval;
  const double factor = std::pow(kDecay, static_cast<double>(passed));
  for (Group& group : this->groups) {
    for (std::int64_t i = 1; i <= std::min(passed, kComplete + 1); ++i) {
      group
          .requests[static_cast<std::size_t>(this->interval + i) % kIntervals] =
          0;
    }
    group.time_ms.Decay(factor);
    group.round_trip_ms.Decay(factor);
  }
  if (current / kLookupIntervals != this->interval / kLookupIntervals) {
    this->groups_by_target.clear();
  }
  this->interval = current;
}

std::uint32_t LoadMeter::RequestsIn(const Group& group,
                                    std::int64_t intervals) const {
  std::uint32_t requests = 0;
  for (std::int64_t i = 1; i <= intervals; ++i) {
    requests += group.requests[static_cast<std::size_t>(this->interval - i) %
                               kIntervals];
  }
  return requests;
}

std::optional<std::vector<MeasuredLoad>> LoadMeter::Measure(milliseconds now) {
  this->Advance(now);
  constexpr std::int64_t kRecentIntervals = kRecent / kInterval;
  const std::int64_t complete =
      std::min(this->interval - this->first_interval, kComplete);
  if (complete < kRecentIntervals) {
    return std::nullopt;
  }
  const double seconds = static_cast<double>(complete) * Millis(kInterval) /
                         kMillisecondsPerSecond;
  std::vector<MeasuredLoad> measured;
  for (const Group& group : this->groups) {
    const std::uint32_t requests = this->RequestsIn(group, complete);
    if (requests == 0) {
      continue;
    }
    const double rate = requests / seconds;
    const double time = group.time_ms.Known()
                            ? group.time_ms.Value() / kMillisecondsPerSecond
                            : 0.0;
    measured.push_back({{group.service, group.domain, rate, rate * time},
                        this->RequestsIn(group, kRecentIntervals),
                        time});
  }
  std::ranges::sort(measured, LargerLoad{}, &MeasuredLoad::load);
  return measured;
}

}  // namespace sassafrasdyke::core

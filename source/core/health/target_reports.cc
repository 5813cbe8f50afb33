#include "core/health/target_reports.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetention{3000};
/// 100 requests per second during the two seconds of a report: no instance
/// sends more to one target.
constexpr std::uint32_t kMaxRequests = 200;
/// No answer takes longer: flows end before.
constexpr milliseconds kMaxMeanTime{60'000};
/// Maximum number of senders; a domain has fewer instances.
constexpr std::size_t kMaxSenders = 1024;

std::optional<TargetIndex> IndexOf(TargetNumber number,
                                   const TargetTable& targets) {
  const auto index = targets.IndexOf(WordFor(number));
  const bool same = index && targets.At(*index).published.number == number;
  return same ? index : std::nullopt;
}

TargetReport Bounded(TargetIndex target, const TargetObservation& observed,
                     milliseconds now) {
  TargetReport report;
  report.target = target;
  const std::uint32_t failures = std::min(observed.failures, observed.requests);
  const double scale =
      observed.requests > kMaxRequests
          ? static_cast<double>(kMaxRequests) / observed.requests
          : 1.0;
  report.requests = std::min(observed.requests, kMaxRequests);
  report.failures = static_cast<std::uint32_t>(failures * scale);
  report.answers = std::min(observed.answers, kMaxRequests);
  report.mean_ms = static_cast<double>(
      std::clamp(observed.mean_time, milliseconds{0}, kMaxMeanTime).count());
  report.silent = observed.silent;
  report.weight = std::isfinite(observed.weight)
                      ? std::clamp(observed.weight, 0.0, 1.0)
                      : 1.0;
  report.decided_at = now - std::max(observed.age, milliseconds{0});
  return report;
}

}  // namespace

void TargetReports::Take(const common::Endpoint& sender,
                         const PeerObservations& observations,
                         const TargetTable& targets, milliseconds now) {
  const auto last = this->reports.find(sender);
  const bool known = last != this->reports.end();
  if ((known && observations.sent_at <= last->second.sent_at) ||
      (!known && this->reports.size() >= kMaxSenders)) {
    return;
  }
  InstanceReport report{{}, observations.sent_at, now, false};
  for (const TargetObservation& observed : observations.targets) {
    if (report.targets.size() >= kMaxTargetObservations) {
      break;
    }
    // A target that is listed twice would be counted twice.
    const auto index = IndexOf(observed.target, targets);
    if (index &&
        std::ranges::find(report.targets, *index, &TargetReport::target) ==
            report.targets.end()) {
      report.targets.push_back(Bounded(*index, observed, now));
    }
  }
  if (report.targets.size() == kMaxTargetObservations) {
    const TargetReport& last = report.targets.back();
    report.full = last.failures > 0 || last.silent || last.weight < 1;
  }
  this->reports.insert_or_assign(sender, std::move(report));
}

void TargetReports::Expire(milliseconds now) {
  std::erase_if(this->reports, [now](const auto& entry) {
    return now - entry.second.received_at > kRetention;
  });
}

}  // namespace sassafrasdyke::core

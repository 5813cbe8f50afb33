#include "core/steering/answer_times.h"

#include <algorithm>
#include <cmath>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Minimum weight of the newest answer: the averages span some ten answers.
constexpr double kMinNewestWeight = 0.1;
/// Minimum number of answers: work varies, so the average of fewer is
/// unreliable.
constexpr unsigned kMinAnswers = 4;
/// An average without new answers for this long is outdated.
constexpr milliseconds kMaxAverageAge{60'000};
/// Maximum number of services with averages. When it is reached, all are
/// cleared, so that services withdrawn long ago take no memory.
constexpr std::size_t kMaxServices = 4096;

void UpdateAverage(double& average, milliseconds newest, double weight) {
  average += weight * (static_cast<double>(newest.count()) - average);
}

}  // namespace

void AnswerTimes::OnAnswer(const std::string& service, bool local,
                           const AnswerTiming& timing, milliseconds now) {
  if (timing.round_trip == milliseconds{0}) {
    return;  // The flow was already open.
  }
  if (this->services.size() >= kMaxServices) {
    this->services.clear();
  }
  Averages& averages = this->services[service];
  Average& average = local ? averages.local : averages.remote;
  if (now - average.last_answer >= kMaxAverageAge) {
    average = Average();
  }
  ++average.answers;
  const double weight = std::max(kMinNewestWeight, 1.0 / average.answers);
  UpdateAverage(average.network_ms, timing.NetworkTime(), weight);
  UpdateAverage(average.target_ms, timing.TimeAtTarget(), weight);
  average.last_answer = now;
}

std::optional<milliseconds> AnswerTimes::RemoteDetour(
    const std::string& service, milliseconds now) const {
  const Averages* const averages = this->Find(service, now);
  if (averages == nullptr) {
    return std::nullopt;
  }
  return milliseconds(
      std::llround(averages->remote.network_ms - averages->local.network_ms));
}

bool AnswerTimes::RemoteDetourCostsMore(const std::string& service,
                                        milliseconds now) const {
  const Averages* const averages = this->Find(service, now);
  return averages != nullptr &&
         averages->remote.network_ms - averages->local.network_ms >
             averages->local.target_ms;
}

const AnswerTimes::Averages* AnswerTimes::Find(const std::string& service,
                                               milliseconds now) const {
  const auto found = this->services.find(service);
  const bool known = found != this->services.end() &&
                     IsKnown(found->second.local, now) &&
                     IsKnown(found->second.remote, now);
  return known ? &found->second : nullptr;
}

bool AnswerTimes::IsKnown(const Average& average, milliseconds now) {
  return average.answers >= kMinAnswers &&
         now - average.last_answer < kMaxAverageAge;
}

}  // namespace sassafrasdyke::core

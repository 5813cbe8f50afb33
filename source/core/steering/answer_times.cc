#include "core/steering/answer_times.h"

#include <algorithm>

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

/// Least weight of the newest answer: some ten answers count.
constexpr double kNewest = 0.1;
/// Work varies, so fewer answers than this tell little of the average.
constexpr unsigned kLeastAnswers = 4;
/// An average without answers for this long says nothing of now.
constexpr milliseconds kBelievedFor{60'000};
/// Services whose answers are followed; beyond, all are learnt anew, so that
/// services withdrawn long ago take no memory.
constexpr std::size_t kMostServices = 4096;

void Move(double& average, milliseconds newest, double weight) {
  average += weight * (static_cast<double>(newest.count()) - average);
}

}  // namespace

void AnswerTimes::OnAnswer(const std::string& service, bool near,
                           const AnswerTiming& timing, milliseconds now) {
  if (timing.round_trip == milliseconds{0}) {
    return;  // The flow was open before.
  }
  if (this->services.size() >= kMostServices) {
    this->services.clear();
  }
  Averages& averages = this->services[service];
  Average& average = near ? averages.near : averages.far;
  if (now - average.at >= kBelievedFor) {
    average = Average();
  }
  ++average.answers;
  const double weight = std::max(kNewest, 1.0 / average.answers);
  Move(average.way_ms, timing.Way(), weight);
  Move(average.at_target_ms, timing.AtTarget(), weight);
  average.at = now;
}

bool AnswerTimes::WayOutweighsWork(const std::string& service,
                                   milliseconds now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  const auto& [near, far] = found->second;
  return IsKnown(near, now) && IsKnown(far, now) &&
         far.way_ms - near.way_ms > near.at_target_ms;
}

bool AnswerTimes::IsKnown(const Average& average, milliseconds now) {
  return average.answers >= kLeastAnswers && now - average.at < kBelievedFor;
}

}  // namespace sassafrasdyke::core

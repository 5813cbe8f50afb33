/// Counts what this instance observes of each target, for the detection of slow
/// and failing ones.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/load/observation_exchange.h"
#include "core/load/request_observer.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Sums over some period.
struct TargetCounts {
  std::uint32_t requests{0};
  std::uint32_t failures{0};
  std::uint32_t answers{0};  ///< Of a known time at the target.
  double answers_ms{0};      ///< Sum of these times.

  double MeanMs() const {
    return this->answers == 0 ? 0.0 : this->answers_ms / this->answers;
  }
};

/// Counts by target. Those without any are left out.
using CountsByTarget = std::unordered_map<TargetIndex, TargetCounts>;

/// Names the targets that are compared with each other: a service's targets in
/// one failure domain.
using TargetGroupKey = std::pair<std::string, std::string>;
TargetGroupKey GroupOf(const PublishedTarget& target);

/// Lower median of the mean times of a group's targets, in ms; 0 without any.
double MedianMeanMs(const std::vector<TargetCounts>& group);

/// A mean time over this multiple of the median is reported; the multiple at
/// which a target counts as slow is higher.
inline constexpr double kNotableSlowness = 2.0;

/// What is reported of a target besides its counts.
struct TargetStatus {
  TargetIndex target;
  bool silent{false};
  double weight{1.0};
  std::chrono::milliseconds age{0};
};

/// The longest period of the counts.
inline constexpr std::chrono::milliseconds kLongPeriod{2000};
/// Period of requests and failures where a second shows enough of them: counts
/// of two seconds hide a failure that began one second ago.
inline constexpr std::chrono::milliseconds kShortPeriod{1000};

/// Counts over the last one or two seconds. Requests count from a quarter of a
/// second after they were sent, when their failure would show: clients repeat
/// after 200 ms. The table must outlive it.
class TargetObservations final : public RequestObserver {
 public:
  explicit TargetObservations(const TargetTable& targets) : targets(targets) {}

  void OnOpening(TargetIndex target, std::chrono::milliseconds now) override;
  void OnRequest(TargetIndex target, std::chrono::milliseconds now) override;
  void OnAnswer(TargetIndex target, const AnswerTiming& timing,
                std::chrono::milliseconds now) override;
  void OnUnanswered(TargetIndex target, std::chrono::milliseconds now) override;
  void OnClientReset(TargetIndex target,
                     std::chrono::milliseconds now) override;
  void OnPause(std::chrono::milliseconds now) override;

  /// Drops what is too old.
  void Expire(std::chrono::milliseconds now);
  /// Requests and failures over `period`, answers over the long one. Empty
  /// while they show more about this instance than about targets: in the
  /// second after a pause, and when most of its targets show failures.
  CountsByTarget Counts(std::chrono::milliseconds now,
                        std::chrono::milliseconds period) const;
  /// Whether requests have been counted for the whole long period, so that
  /// their number shows their rate.
  bool KnowsRate(std::chrono::milliseconds now) const;
  /// The counts since `since`, or over the long period if that began later.
  TargetCounts CountsOf(TargetIndex target, std::chrono::milliseconds now,
                        std::chrono::milliseconds since) const;
  /// Number of flows that were opened at the target since it was last idle for
  /// two seconds.
  std::uint32_t Openings(TargetIndex target) const;
  /// The entries of a digest: silent targets, then other `listed` ones, then
  /// those with the most failures and the longest times.
  std::vector<TargetObservation> Worst(std::vector<TargetStatus> listed,
                                       std::chrono::milliseconds now,
                                       std::chrono::milliseconds period) const;

 private:
  /// One more than the period has, as requests count one part later.
  static constexpr std::size_t kBuckets = 9;

  /// Counts of one part of the period.
  struct Bucket {
    std::int64_t number{-1};  ///< Of the part of time.
    TargetCounts counts{};
  };
  struct History {
    std::array<Bucket, kBuckets> buckets{};
    std::uint32_t openings{0};
  };

  /// The bucket of the present; null while nothing is counted.
  TargetCounts* Present(TargetIndex target, std::chrono::milliseconds now);
  /// Sums parts of time from `first` on; of requests and failures the last
  /// `parts`.
  static TargetCounts Sum(const History& history, std::int64_t present,
                          std::int64_t first, std::int64_t parts);
  /// Network time of a request on an open flow.
  double RoundTripMs(TargetIndex target, const AnswerTiming& timing);
  /// Targets with failures or long times, worst first.
  std::vector<TargetIndex> Notable(const CountsByTarget& counts) const;
  TargetObservation EntryOf(const TargetStatus& status,
                            const CountsByTarget& counts) const;

  const TargetTable& targets;
  std::unordered_map<TargetIndex, History> histories;
  /// Moving average of the round trip by the targets' failure domain, in ms.
  std::unordered_map<std::string, double> round_trips;
  std::chrono::milliseconds counts_from{0};  ///< Later than the last pause.
  /// When the first event after the start or the last pause was counted.
  std::optional<std::chrono::milliseconds> counting_since;
};

}  // namespace sassafrasdyke::core

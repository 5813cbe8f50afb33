/// Measures the load that this instance places, for each service and failure
/// domain of targets: requests per second, and concurrency by Little's law.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/load/load_report.h"
#include "core/load/request_observer.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Load of one service at the targets of one domain.
struct MeasuredLoad {
  LoadEntry load;                 ///< Over the last second.
  std::uint32_t recent_requests;  ///< In the last `LoadMeter::kRecent`.
  double time_at_target_s;        ///< Mean; 0 while no answer has shown it.
};

/// Counts in intervals of 100 ms, of which only complete ones are used. Times
/// are monotonic and never go back.
class LoadMeter final : public RequestObserver {
 public:
  /// Time over which sudden changes are detected.
  static constexpr std::chrono::milliseconds kRecent{500};

  /// `targets` must outlive the meter.
  explicit LoadMeter(const TargetTable& targets) : targets(targets) {}

  void OnOpening(TargetIndex target, std::chrono::milliseconds now) override {
    this->Count(target, now);
  }
  void OnRequest(TargetIndex target, std::chrono::milliseconds now) override {
    this->Count(target, now);
  }
  void OnAnswer(TargetIndex target, const AnswerTiming& timing,
                std::chrono::milliseconds now) override;
  void OnUnanswered(TargetIndex /*target*/,
                    std::chrono::milliseconds /*now*/) override {}
  void OnClientReset(TargetIndex /*target*/,
                     std::chrono::milliseconds /*now*/) override {}
  void OnPause(std::chrono::milliseconds now) override;

  /// The load of services that had requests in the last second, the largest
  /// first; nothing during the first `kRecent` after the start or a pause.
  /// Called about ten times a second.
  std::optional<std::vector<MeasuredLoad>> Measure(
      std::chrono::milliseconds now);

 private:
  static constexpr std::chrono::milliseconds kInterval{100};
  /// Complete intervals of the last second, and the current one.
  static constexpr std::int64_t kComplete = 10;
  static constexpr std::size_t kIntervals = kComplete + 1;

  /// A mean whose older values have exponentially decreasing weights.
  struct DecayingMean {
    double sum{0};
    double weight{0};

    void Add(double value) {
      this->sum += value;
      ++this->weight;
    }
    void Decay(double factor) {
      this->sum *= factor;
      this->weight *= factor;
    }
    bool Known() const;
    double Value() const { return this->sum / this->weight; }
  };
  /// The targets of one service in one domain.
  struct Group {
    ServiceKey service;
    std::string domain;
    std::array<std::uint32_t, kIntervals> requests{};
    DecayingMean time_ms;        ///< At the target, queueing included.
    DecayingMean round_trip_ms;  ///< Of handshakes.
  };
  using GroupId = std::size_t;

  void Count(TargetIndex target, std::chrono::milliseconds now);
  /// Starts the interval of `now`.
  void Advance(std::chrono::milliseconds now);
  /// The group of a target; nothing if the target is no longer known.
  std::optional<GroupId> GroupOf(TargetIndex target);
  /// Mean round trip of handshakes with the group's targets, or else with any
  /// targets of its domain; 0 while none is known.
  double RoundTripOf(const Group& group) const;
  /// Requests in the last `intervals` complete intervals.
  std::uint32_t RequestsIn(const Group& group, std::int64_t intervals) const;
  void Clear();

  const TargetTable& targets;
  std::vector<Group> groups;
  std::map<std::pair<std::string, std::string>, GroupId> groups_by_name;
  /// Saves the comparison of names for each packet.
  std::unordered_map<TargetIndex, GroupId> groups_by_target;
  std::int64_t interval{0};        ///< Number of the current interval.
  std::int64_t first_interval{1};  ///< The first one measured in full.
};

}  // namespace sassafrasdyke::core

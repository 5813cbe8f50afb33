/// Fixture for tests of shared target health: an instance of the domain north
/// with targets of one service, and peers whose reports a test makes up.
#pragma once

#include <string>
#include <vector>

#include "core/health/outlier_detector.h"
#include "core/load/fixed_fleet_load.h"

namespace sassafrasdyke::core {

struct HealthScene {
  using Time = std::chrono::milliseconds;

  /// The last `others` targets are of another service.
  explicit HealthScene(std::size_t count, double max_ejected = 0.34,
                       std::size_t others = 0)
      : table(Time{60'000}),
        own(this->table),
        detector("north", this->table, this->load, this->own, max_ejected, 1) {
    for (std::size_t i = 0; i < count; ++i) {
      PublishedTarget target;
      target.number = {i + 1};
      target.service = i + others < count ? "diary" : "album";
      target.domain = "north";
      target.address = {
          common::IpAddress::FromV4(0x0A000001 + static_cast<std::uint32_t>(i)),
          80};
      const std::string name = "target/" + std::to_string(i + 1);
      this->table.Publish(name, target, Time{0});
      this->indexes.push_back(*this->table.IndexOf(WordFor(target.number)));
    }
  }

  /// Requests of this instance to a target: `failures` of them are left
  /// unanswered, the others take `time`.
  void Own(std::size_t target, int requests, int failures, Time time) {
    const TargetIndex index = this->indexes.at(target);
    for (int i = 0; i < requests; ++i) {
      this->own.OnOpening(index, this->now);
      if (i < failures) {
        this->own.OnUnanswered(index, this->now);
      } else {
        this->own.OnAnswer(index, {this->now, time + Time{4}, Time{2}},
                           this->now);
      }
    }
  }
  /// A peer's digest with these observations arrives.
  void Report(std::uint16_t peer, std::vector<TargetObservation> targets,
              const std::string& domain = "north") {
    this->ReportSentAt(this->now, peer, std::move(targets), domain);
  }
  /// One that was sent at `sent_at` by the peer's clock.
  void ReportSentAt(Time sent_at, std::uint16_t peer,
                    std::vector<TargetObservation> targets,
                    const std::string& domain = "north") {
    PeerObservations observations;
    observations.sent_at = sent_at;
    observations.own = LoadReport{};
    observations.targets = std::move(targets);
    this->detector.OnObservations({common::IpAddress::FromV4(0x0A010000), peer},
                                  domain, observations, this->now);
  }
  /// What a peer observes of a target.
  static TargetObservation Seen(std::size_t target, std::uint32_t requests,
                                std::uint32_t failures, Time mean) {
    TargetObservation seen;
    seen.target = {target + 1};
    seen.requests = requests;
    seen.failures = failures;
    seen.answers = mean > Time{0} ? requests - std::min(requests, failures) : 0;
    seen.mean_time = mean;
    return seen;
  }
  /// What a peer reports of a target that it has ejected.
  static TargetObservation Ejected(std::size_t target, Time age) {
    TargetObservation ejected = Seen(target, 0, 0, Time{0});
    ejected.weight = 0;
    ejected.age = age;
    return ejected;
  }
  /// Lets the time pass from which requests count.
  void Settle() { this->now += Time{300}; }
  void Tick() { this->detector.OnTick(this->watch, this->now); }
  OutlierState State(std::size_t target) const {
    return this->detector.StateOf(this->indexes.at(target));
  }
  double Weight(std::size_t target) const {
    return this->detector.WeightOf(this->indexes.at(target));
  }

  TargetTable table;
  FixedFleetLoad load;
  TargetObservations own;
  OutlierDetector detector;
  TargetWatch watch;
  std::vector<TargetIndex> indexes;
  Time now{10'000};
};

inline std::ostream& operator<<(std::ostream& out, OutlierState state) {
  return out << Word(state);
}

}  // namespace sassafrasdyke::core

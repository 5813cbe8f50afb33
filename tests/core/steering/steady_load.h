/// Simulates callers that open a flow for each request at a steady rate, and
/// targets with slots and a queue. Several instances of one failure domain,
/// each of which knows only its own flows.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/steering/modelled_target.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {

/// Parameters of a simulation. Targets are numbered from 0.
struct LoadPlan {
  std::size_t instances{3};
  std::size_t targets{5};
  std::chrono::milliseconds wants_every{5};
  std::chrono::milliseconds length{10'000};
  /// Target 0 takes `slow_factor` times as long from `slow_from` on, for
  /// `slow_for`.
  std::int64_t slow_factor{1};
  std::chrono::milliseconds slow_from{0};
  std::chrono::milliseconds slow_for{0};
  /// When the last `joining` targets start to join, one every 200 ms; they
  /// aren't published before. Nothing: none joins.
  std::optional<std::chrono::milliseconds> joins_at;
  std::size_t joining{1};
  /// Whether as many of the first targets are published as leaving meanwhile.
  bool others_leave{false};
  /// From `joins_at` on an instance is replaced every 300 ms, each once.
  bool instances_restart{false};
};

/// Results of the callers.
struct LoadOutcome {
  int asked{0};
  int in_time{0};  ///< Answered within the objective.
  int late{0};
  int shed{0};  ///< Rejected by a full target; the caller retries once.
  /// Flows placed at each target in the half second after the first joined.
  std::vector<int> placed_after_join;
};

/// Simulates a plan in steps of a millisecond.
class SteadyLoad {
 public:
  explicit SteadyLoad(const LoadPlan& plan);
  LoadOutcome Play();

 private:
  using Time = std::chrono::milliseconds;

  struct Caller {
    Time wants_since{0};
    std::uint16_t port{0};
    std::size_t instance{0};
    std::uint32_t word{0};
    unsigned tries{0};
  };

  /// Applies the changes that the plan has for `now`.
  void ApplyPlan(Time now);
  void PublishTarget(std::size_t number, const std::string& state, Time now);
  void StartInstance(std::size_t instance, Time now);
  void Open(std::size_t id, Time now);
  void Work(std::size_t number, Time now);
  void Answer(std::size_t id, Time now);
  Time WorkTime(std::size_t number, Time now);

  const LoadPlan plan;
  Jitter random{7};
  std::vector<std::unique_ptr<SteeringScene>> instances;
  std::vector<Caller> callers;
  std::vector<ModelledTarget> targets;
  std::map<std::size_t, std::string> published;  ///< The targets' states.
  std::uint16_t last_port{1024};
  LoadOutcome outcome;
};

}  // namespace sassafrasdyke::core

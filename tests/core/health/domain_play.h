/// Simulates one failure domain: instances that each see only their own flows,
/// targets of which some are slow, failing, flapping or silent, and callers
/// that open a flow for each request. Digests go where the instances' exchange
/// sends them.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/health/outlier_detector.h"
#include "core/load/fixed_fleet_load.h"
#include "core/steering/modelled_target.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {

enum class TargetTrouble : std::uint8_t {
  kNone,
  kSlow,      ///< Requests take ten times as long.
  kFailing,   ///< Part of the requests is never answered.
  kFlapping,  ///< Fails in every other second.
  kSilent,    ///< Its host is gone.
};

struct DomainPlan {
  bool shares{true};   ///< Whether instances exchange observations.
  bool detects{true};  ///< Whether weights are used.
  TargetTrouble trouble{TargetTrouble::kNone};
  std::size_t troubled{0};              ///< Number of targets; the first ones.
  std::chrono::milliseconds usual{15};  ///< Mean time of a request.
  std::chrono::milliseconds wants_every{1};  ///< A request of the domain.
  std::chrono::milliseconds length{12'000};
  std::uint64_t seed{11};
  /// When one instance starts anew.
  std::optional<std::chrono::milliseconds> restarts_at;
};

struct DomainOutcome {
  int asked{0};
  int failed{0};  ///< Not answered before the deadline, retries included.
  int late{0};    ///< Answered after the objective.
  /// From the beginning of the trouble until new flows avoid the targets: they
  /// get at most a quarter of their share in each of the three seconds from
  /// then on, flapping ones at most half.
  std::optional<std::chrono::milliseconds> avoided_after;
  /// Most targets that an instance gives a reduced weight without a reason: not
  /// in trouble, or in trouble with all others.
  std::size_t wrong_outliers{0};
  std::uint64_t placements{0};  ///< Hash of all placed flows in their order.
  int probes{0};
  /// Flows of the restarted instance to troubled targets in its first two
  /// seconds, as a fraction of their share.
  double share_after_restart{0};
};

class DomainPlay {
 public:
  explicit DomainPlay(const DomainPlan& plan);
  ~DomainPlay();
  DomainOutcome Play();

 private:
  using Time = std::chrono::milliseconds;
  struct Node;
  struct Caller {
    Time wants_since{0};
    Time sent_at{0};
    std::uint16_t port{0};
    std::size_t node{0};
    std::optional<std::size_t> target;
    unsigned tries{0};
    bool hangs{false};
    bool done{false};
  };
  struct Event {
    enum class Kind : std::uint8_t { kFirstRepeat, kGivesUp } kind;
    std::size_t caller;
  };

  void StartNode(std::size_t node, Time now);
  bool Troubled(std::size_t target, Time now) const;
  bool Hangs(std::size_t target, Time now);
  void Open(std::size_t id, Time now);
  void Send(std::size_t id, Time now);
  void OnEvent(const Event& event, Time now);
  void Answer(std::size_t id, Time now);
  void Work(Time now);
  void Tick(Time now);
  void Exchange(std::size_t node, Time now);
  void Deliver(std::size_t from, std::size_t to, Time now);
  void Probe(std::size_t node, Time now);
  void CountPlaced(std::size_t node, std::size_t target, Time now);
  std::optional<Time> AvoidedAfter() const;

  const DomainPlan plan;
  Jitter random;
  Jitter draws{5};  ///< Of the exchange alone.
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Caller> callers;
  std::vector<ModelledTarget> targets;
  std::multimap<Time, Event> events;
  std::map<Time, std::pair<int, int>> placed;  ///< At troubled ones, and all.
  std::pair<int, int> placed_by_restarted;
  DomainOutcome outcome;
};

}  // namespace sassafrasdyke::core

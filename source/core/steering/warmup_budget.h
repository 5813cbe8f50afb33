/// Limits the new flows that this instance sends to targets that are warming up
/// after their start.
///
/// A service may publish how many requests a second a cold target bears, from
/// all instances together. No instance sees what the others send, and none may
/// count for the fleet, so each takes a part that depends on the fleet's size
/// only. A share of the flows in proportion to the rate would not do: a burst
/// of callers, as after an outage, would exceed it at all targets at once.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Tolerance of the platform: in any second a cold target may get
/// `rate * excess + slack` new flows.
struct WarmupTolerance {
  double excess{1.0};
  double slack{0.0};  ///< Flows.
};

/// The greatest mean number of flows in a window, for `instances` instances
/// that each send at most one in it, independently and with equal probability,
/// at which more than `bound` flows are practically impossible (1e-7).
double SafeMeanFlows(std::size_t instances, double bound);

/// Times are monotonic, since process start.
class WarmupBudget {
 public:
  /// The tables must outlive this. `seed` must differ between instances.
  WarmupBudget(const RouteTable& routes, const TargetTable& targets,
               WarmupTolerance tolerance, std::uint64_t seed)
      : routes(routes), targets(targets), tolerance(tolerance), seed(seed) {}

  /// The number of instances that are known now, this one included.
  void OnFleetSize(std::size_t instances, std::chrono::milliseconds now);
  /// Whether a limit applies to the target now.
  bool Limits(TargetIndex target, std::chrono::milliseconds now) const {
    return this->RateOf(target, now).has_value();
  }
  /// Whether a new flow may go to the target: it is warm, or this instance has
  /// a part of its rate left.
  bool Allows(TargetIndex target, std::chrono::milliseconds now) const;
  /// A new flow was placed at the target.
  void OnPlaced(TargetIndex target, std::chrono::milliseconds now);
  void Forget(TargetIndex target) { this->placed.erase(target); }

 private:
  /// The published rate of a target that is cold, in flows per second.
  std::optional<double> RateOf(TargetIndex target,
                               std::chrono::milliseconds now) const;
  /// The fleet's size to share the rate with; never too small.
  std::size_t Instances(std::chrono::milliseconds now) const;
  /// For fleets larger than the rate: the start of this instance's present
  /// window for the target, or nothing outside of a window.
  std::optional<std::chrono::milliseconds> WindowStart(
      TargetIndex target, double rate, std::chrono::milliseconds now) const;

  /// SafeMeanFlows(), which takes too long to be computed for every new flow.
  double MeanFlows(std::size_t instances, double bound) const;

  const RouteTable& routes;
  const TargetTable& targets;
  const WarmupTolerance tolerance;
  const std::uint64_t seed;
  std::size_t instances{1};
  std::chrono::milliseconds instances_at{0};
  /// When flows were placed at cold targets, within the last second or since
  /// the last window.
  std::unordered_map<TargetIndex, std::deque<std::chrono::milliseconds>> placed;
  /// Results of MeanFlows(), by its arguments.
  mutable std::map<std::pair<std::size_t, double>, double> mean_flows;
};

}  // namespace sassafrasdyke::core

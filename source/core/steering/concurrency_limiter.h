/// Limits the concurrent requests of this instance at each failure domain's
/// targets of a service; a new flow is admitted only below the limit.
///
/// After a restart of the whole fleet, or in a burst of clients, the flows of a
/// second or more are opened within a tenth of a second. Forwarded at once,
/// they fill the targets' queues: requests that could still be in time wait
/// behind those that are late already, and what doesn't fit is shed, only to be
/// retried. So an instance forwards what the targets answer in time, to other
/// domains when its own is at its limit, and holds the rest back.
///
/// An instance doesn't know its share of the capacity: how many other instances
/// there are is known only seconds after a restart of the fleet, when it
/// matters most. So each limit is adapted like a TCP congestion window, by slow
/// start, additive increase and multiplicative decrease. A round is congested
/// if most of its answers take the targets both more than half of what callers
/// allow and several times the minimum.
#pragma once

#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/steering/pending_requests.h"
#include "core/steering/shared_observations.h"
#include "core/steering/target_watch.h"
#include "core/steering/warmup_budget.h"
#include "core/view/region_map.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// Permission to open one more flow.
struct AdmissionGrant {
  /// The failure domain to use; nothing leaves the choice to TargetChoice.
  std::optional<std::string> domain;
};

/// A limit for each service and failure domain. The tables must outlive this.
class ConcurrencyLimiter {
 public:
  /// `domain` is the own failure domain.
  ConcurrencyLimiter(std::string domain, const TargetTable& targets,
                     const RegionMap& regions, const TargetWatch& watch,
                     const PendingRequests& pending, const WarmupBudget& warmup,
                     const SharedObservations& shared = NoSharedObservations())
      : load(shared.load),
        fair_admission(shared.fair_admission),
        domain(std::move(domain)),
        targets(targets),
        regions(regions),
        watch(watch),
        pending(pending),
        warmup(warmup) {}

  /// A target answered a request of `route`.
  void OnAnswer(TargetIndex target, const Route& route,
                const AnswerTiming& timing, std::chrono::milliseconds now);
  /// Whether some target that the route may use only waits until it may get
  /// the next flow of its warm-up.
  bool WaitsForColdTargets(const Route& route,
                           std::chrono::milliseconds now) const;
  /// Returns a grant for one more flow of the route, or nothing when all
  /// domains are at their limits or all their targets are cold and have enough
  /// new flows. A route without targets gets a grant too:
  /// FlowSteering refuses its flows.
  std::optional<AdmissionGrant> GrantFor(const Route& route,
                                         std::chrono::milliseconds now) const;

 private:
  /// Answers counted for one adjustment of the limit. It ends with an answer to
  /// a request that was sent since it began, once there are enough: earlier
  /// requests were sent under the previous limit.
  struct Round {
    std::chrono::milliseconds since{0};
    unsigned answers{0};
    unsigned late{0};
  };
  /// Limit for one domain's targets of a service, in requests.
  struct Limit {
    double requests;
    double initial;            ///< What it began with, or was adapted to.
    std::size_t instances{0};  ///< See SharingInstances; at that time.
    /// Below this the limit doubles with every answer time, above it grows by
    /// one. Half of the limit at which congestion began; further congested
    /// rounds don't lower it, as those until a queue has drained show nothing
    /// about the capacity.
    double slow_start_threshold{std::numeric_limits<double>::infinity()};
    bool congested{false};  ///< Most answers of the last round were late.
    /// Decaying minimum of the time at the target; 0 before any.
    double min_target_ms{0};
    unsigned answers{0};
    Round round{};

    bool WasCongested() const {
      return this->slow_start_threshold <
             std::numeric_limits<double>::infinity();
    }
  };
  /// Slots of a domain's targets of a service.
  struct Slots {
    double all{0};
    double largest{0};  ///< Of one target.
  };
  /// Requests at a domain's targets.
  using PendingRequestsByDomain = std::map<std::string, double>;
  /// Ends a round: if it was congested, decreases the limit in proportion to
  /// its late answers. If each late answer decreased it, hundreds of requests
  /// sent before the first decrease would bring the limit to its minimum at
  /// once, and callers would wait while targets idle.
  static void EndRound(Limit& limit);
  /// Updates the minimum time with an answer's; returns true if the answer was
  /// late.
  static bool RecordAnswer(Limit& limit, const Route& route,
                           const AnswerTiming& timing);
  using Limits = std::map<std::string, Limit, std::less<>>;

  Limit LimitOf(const std::string& service, const std::string& domain) const;
  /// Adapts a limit that was never congested to the number of instances that
  /// share the domain, which is known only a second after a start.
  void FollowInstances(Limit& limit, const PublishedTarget& target) const;
  /// Limit of a domain before any answer. For the own domain: the requests that
  /// its targets process concurrently. With few instances, less would leave
  /// targets idle for several answer times, and callers that return after an
  /// outage would be served late at half the load. With many instances, each
  /// has few callers.
  ///
  /// Without targets in the own domain, as while it is evacuated, the other
  /// domains take its place in equal parts; at the limit for relief its callers
  /// would wait until answers have raised it.
  ///
  /// With fair admission it is this instance's share of that, plus what the
  /// number of its requests varies by. The total of the shares stays bounded
  /// then, however many instances share the targets. `instances`: see
  /// SharingInstances.
  double InitialLimit(const std::string& service, const std::string& domain,
                      std::size_t instances) const;
  /// The number of instances by which limits are divided: 0, which divides
  /// nothing, while it isn't known or admission isn't fair.
  std::size_t SharingInstances() const {
    return this->fair_admission ? this->load.DomainInstances().value_or(0) : 0;
  }
  /// Limit of another domain: with fair admission at least the part of its
  /// headroom, since slow start from one request would hold callers back while
  /// targets that the reports show to be idle have capacity.
  double RemoteLimit(const std::string& service, const DomainLoad& other) const;
  /// What each instance of the own domain may use of the other's capacity; all
  /// of them may turn to it until the next reports. 0 without fair admission.
  double PartOfHeadroom(const std::string& service,
                        const DomainLoad& other) const;
  /// Whether the domain can be used: it is reachable, or none of `pending` is,
  /// so that the load reports may have been lost rather than the domains.
  bool MayUse(const std::string& service, const std::string& domain,
              const PendingRequestsByDomain& pending) const;
  /// Requests pending at each domain that has usable targets of the service.
  PendingRequestsByDomain PendingByDomain(const std::string& service,
                                          std::chrono::milliseconds now) const;
  bool Usable(TargetIndex index, std::chrono::milliseconds now) const;
  Slots SlotsOf(const std::string& service, const std::string& domain) const;

  const FleetLoad& load;
  const bool fair_admission;
  const std::string domain;
  const TargetTable& targets;
  const RegionMap& regions;
  const TargetWatch& watch;
  const PendingRequests& pending;
  const WarmupBudget& warmup;
  std::unordered_map<std::string, Limits> limits;
};

}  // namespace sassafrasdyke::core

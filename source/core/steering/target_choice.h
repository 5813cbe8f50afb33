/// Selects the target of a new flow.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "core/health/target_weights.h"
#include "core/steering/answer_times.h"
#include "core/steering/fair_scheduler.h"
#include "core/steering/flow_packet.h"
#include "core/steering/pending_requests.h"
#include "core/steering/shared_observations.h"
#include "core/steering/target_watch.h"
#include "core/steering/warmup_budget.h"
#include "core/view/region_map.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// A new flow that needs a target.
struct ChoiceQuery {
  const Route& route;
  common::Fingerprint flow;
  /// Target to avoid, as it has just left this flow's SYN unanswered.
  std::optional<TargetIndex> excluded;
  /// Failure domain to prefer over the own one, which is at its limit.
  std::optional<std::string> preferred_domain;
  std::chrono::milliseconds now{0};
};

/// The chosen target, and why.
struct Choice {
  TargetIndex target;
  SteeringReason reason{SteeringReason::kLocal};
};

/// Chooses the target of the own failure domain with the fewest unanswered
/// requests of this instance; fair queueing decides among equals. Flows spill
/// to other domains when the own has no usable target, and a part of them when
/// it has far fewer of the service's usable targets than the others, unless the
/// additional network time exceeds what its targets take for a request. While
/// the load reports show more demand in the own domain than it has capacity
/// for, the LocalityPolicy decides which part. Targets of a weight below 1 get
/// a smaller share of the flows.
///
/// Unanswered requests are the first symptom of a slow target: if it still got
/// its share of the flows, it would answer all of them late, while other
/// targets could have served them in time.
class TargetChoice {
 public:
  /// `domain` is the own failure domain. The tables and what `shared` refers to
  /// must outlive this.
  TargetChoice(std::string domain, const TargetTable& targets,
               const RegionMap& regions, const TargetWatch& watch,
               const PendingRequests& pending, const AnswerTimes& answer_times,
               const WarmupBudget& warmup, const SharedObservations& shared)
      : domain(std::move(domain)),
        targets(targets),
        regions(regions),
        watch(watch),
        pending(pending),
        answer_times(answer_times),
        warmup(warmup),
        load(shared.load),
        locality(shared.locality),
        weights(shared.weights) {}

  /// A flow was placed at the target.
  void OnPlaced(TargetIndex target);
  void Forget(TargetIndex target) { this->scheduler.Forget(target); }

  /// Returns nothing when no target of the route's services accepts new flows.
  std::optional<Choice> Choose(const ChoiceQuery& query) const;

 private:
  /// Domains with targets that accept new flows, in the order of their names.
  using DomainList = std::vector<const ServingTargets::value_type*>;

  std::optional<Choice> ChooseOf(const std::string& service,
                                 const ChoiceQuery& query) const;
  /// Chooses by the load reports. `local`: the usable targets of the own
  /// domain. Nothing while too little is known or the own domain has capacity.
  std::optional<Choice> ChooseByLoad(const std::string& service,
                                     const DomainList& domains,
                                     const std::vector<TargetIndex>& local,
                                     const ChoiceQuery& query) const;
  DomainCapacity CapacityOf(const std::string& domain,
                            const std::vector<TargetIndex>& usable,
                            const std::vector<DomainLoad>& loads) const;
  LocalityQuery LocalityQueryFor(const DomainCapacity& own,
                                 const std::vector<DomainLoad>& loads,
                                 const DomainList& domains,
                                 const ChoiceQuery& query) const;
  /// Chooses among the targets of all domains; `local` holds the usable targets
  /// of the domain `preferred`.
  std::optional<Choice> ChooseOfAll(const std::string& service,
                                    const DomainList& domains,
                                    const std::string& preferred,
                                    const std::vector<TargetIndex>& local,
                                    const ChoiceQuery& query) const;
  /// Domains of the service's targets that the route allows.
  DomainList AllowedDomains(const std::string& service,
                            const Route& route) const;
  std::vector<TargetIndex> UsableIn(const DomainList& domains,
                                    const std::string& domain,
                                    const ChoiceQuery& query) const;
  /// Ejected targets aren't, as suspected ones: both are used only when no
  /// other is left.
  bool Usable(TargetIndex index, const ChoiceQuery& query) const;
  /// What the target can work on, reduced by its weight; in slots.
  double WeightedSlotsOf(TargetIndex index) const;
  double SlotsOf(const std::vector<TargetIndex>& indexes) const;
  /// Whether the additional network time to other domains takes so much of the
  /// objective that load is no reason to leave.
  bool DetourTooLong(const std::string& service,
                     const ChoiceQuery& query) const;
  /// Why a flow leaves the own domain: `reason`, or its evacuation.
  SteeringReason ReasonToLeave(SteeringReason reason) const;
  /// Those of the usable targets that are warming up.
  std::vector<TargetIndex> ColdOf(const std::vector<TargetIndex>& usable,
                                  std::chrono::milliseconds now) const;
  /// Chooses among usable targets of one domain.
  TargetIndex ChooseIn(const std::vector<TargetIndex>& usable,
                       const ChoiceQuery& query) const;
  TargetIndex LeastLoaded(const std::vector<TargetIndex>& options,
                          const ChoiceQuery& query) const;
  TargetIndex LeastSuspected(const std::vector<TargetIndex>& options) const;

  const std::string domain;
  const TargetTable& targets;
  const RegionMap& regions;
  const TargetWatch& watch;
  const PendingRequests& pending;
  const AnswerTimes& answer_times;
  const WarmupBudget& warmup;
  const FleetLoad& load;
  const LocalityPolicy& locality;
  const TargetWeights& weights;
  FairScheduler scheduler;
};

}  // namespace sassafrasdyke::core

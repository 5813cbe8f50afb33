/// Which target gets a new flow.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "core/steering/answer_times.h"
#include "core/steering/fair_turns.h"
#include "core/steering/flow_packet.h"
#include "core/steering/pending_requests.h"
#include "core/steering/target_watch.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// A new flow that needs a target.
struct ChoiceQuery {
  const Route& route;
  common::Fingerprint flow;
  /// A target that has just left this flow's SYN unanswered.
  std::optional<TargetIndex> except;
  /// Another failure domain to place it in, as the own has enough for now.
  std::optional<std::string> instead;
  std::chrono::milliseconds now{0};
};

/// The chosen target, and why.
struct Choice {
  TargetIndex target;
  SteeringReason reason{SteeringReason::kLocal};
};

/// Chooses the target of the own failure domain that has the fewest requests of
/// this instance unanswered, and of these the one whose turn it is. Looks
/// further when that domain has none that can serve, and for a part of the
/// flows when it has far fewer of the service's usable targets than the others,
/// unless the way to them takes longer than the work.
///
/// The requests are what a slow target shows first: given its share of the
/// flows all the same, it would keep them all until they are late, while its
/// neighbours could have served them in time.
class TargetChoice {
 public:
  /// `domain` is the own failure domain. The tables must outlive this.
  TargetChoice(std::string domain, const TargetTable& targets,
               const TargetWatch& watch, const PendingRequests& pending,
               const AnswerTimes& answer_times)
      : domain(std::move(domain)),
        targets(targets),
        watch(watch),
        pending(pending),
        answer_times(answer_times) {}

  /// A flow was placed at the target.
  void OnPlaced(TargetIndex target);
  void Forget(TargetIndex target) { this->turns.Forget(target); }

  /// Nothing when no target of the route's services takes new flows.
  std::optional<Choice> Choose(const ChoiceQuery& query) const;

 private:
  std::optional<Choice> ChooseOf(const std::string& service,
                                 const ChoiceQuery& query) const;
  /// With a look at all domains; `local` are the usable ones of the own.
  std::optional<Choice> ChooseOfAll(const std::string& service,
                                    const std::vector<TargetIndex>& local,
                                    const ChoiceQuery& query) const;
  bool Usable(TargetIndex index, const ChoiceQuery& query) const;
  TargetIndex NextInTurn(const std::vector<TargetIndex>& options,
                         const ChoiceQuery& query) const;
  TargetIndex LeastSuspected(const std::vector<TargetIndex>& options) const;

  const std::string domain;
  const TargetTable& targets;
  const TargetWatch& watch;
  const PendingRequests& pending;
  const AnswerTimes& answer_times;
  FairTurns turns;
};

}  // namespace sassafrasdyke::core

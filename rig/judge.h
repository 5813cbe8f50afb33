/// Knows the truth of a run from both ends and counts what must not happen.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/flow_key.h"
#include "common/ids.h"
#include "rig/exchange.h"
#include "rig/scheduler.h"

namespace sassafrasdyke::rig {

/// Why an established flow ended before its caller wanted.
enum class Break {
  kReset,       ///< A RST from a balancer or from a target without the flow.
  kTimeout,     ///< Retransmissions went unanswered until the caller gave up.
  kUnanswered,  ///< Still waiting for an answer when the run ended.
};

/// What was counted over a run.
struct Tally {
  std::uint64_t flows{0};         ///< SYN sent, one a flow.
  std::uint64_t established{0};   ///< SYN-ACK received.
  std::uint64_t finished{0};      ///< Ended as the caller wanted.
  std::uint64_t failed_opens{0};  ///< Never answered.
  std::uint64_t refused{0};       ///< RST answered the SYN: "not run".
  std::uint64_t broken_reset{0};
  std::uint64_t broken_timeout{0};
  std::uint64_t broken_unanswered{0};
  /// Broken, but the target that held the flow had failed: no balancer can
  /// save those.
  std::uint64_t lost_with_target{0};
  std::uint64_t misrouted{0};        ///< Packets at another service's target.
  std::uint64_t double_runs{0};      ///< Requests that ran once too often.
  std::uint64_t false_not_run{0};    ///< Refused as "not run", yet it ran.
  std::uint64_t foreign_answers{0};  ///< Answer of another flow or request.
  std::uint64_t incomplete_answers{0};  ///< The flow ended inside an answer.
  std::uint64_t requests{0};            ///< Runs at the targets.
  std::uint64_t answers{0};             ///< Whole answers received.
  std::uint64_t late_placements{0};  ///< New flows on a target long in drain.
  std::uint64_t ignored_resets{0};   ///< RST outside the window.
  std::uint64_t malformed{0};        ///< Datagrams nobody could read.

  std::uint64_t Broken() const {
    return this->broken_reset + this->broken_timeout + this->broken_unanswered;
  }
};

/// How evenly one service's targets were used.
struct Balance {
  double imbalance{0};  ///< Greatest over mean new flows, by weight.
  std::chrono::microseconds mean_wait{0};  ///< Of requests for a slot.
  std::chrono::microseconds p99_wait{0};
  std::uint64_t requests{0};
};

/// Told by callers, targets and the timeline; decides what is a fault.
class Judge {
 public:
  /// `scheduler` tells the time and must outlive it.
  explicit Judge(const Scheduler& scheduler) : scheduler(scheduler) {}

  /// @name From the callers
  /// @{
  void FlowOpened(const common::FlowKey& flow);
  void FlowEstablished();
  void FlowFinished(const common::FlowKey& flow);
  void OpenFailed(const common::FlowKey& flow);
  /// A RST answered the SYN of a flow whose request is `attempt`.
  void Refused(const common::FlowKey& flow, const Attempt& attempt);
  /// A RST came that a caller's TCP stack refuses.
  void ResetIgnored(const common::FlowKey& flow);
  /// An established flow ended early; `inside_answer` when part of an answer
  /// had come.
  void FlowBroken(const common::FlowKey& flow, Break cause, bool inside_answer);
  /// A part of an answer came; `own` when it is the next part of the answer
  /// that the flow waits for.
  void AnswerPartCame(bool own);
  void AnswerCompleted(std::chrono::microseconds took);
  /// @}

  /// @name From the targets
  /// @{
  /// A target took a new flow.
  void FlowAccepted(const common::FlowKey& flow, common::TargetId target);
  void RequestRan(const common::FlowKey& flow, const Request& request,
                  std::chrono::microseconds waited);
  void Misrouted(const common::FlowKey& flow, common::TargetId target);
  void Malformed() { ++this->tally.malformed; }
  /// @}

  /// @name From the timeline
  /// @{
  void TargetAdded(common::TargetId target, common::ServiceId service,
                   std::uint32_t weight);
  /// It lost its flows: breaks of those are nobody else's fault.
  void TargetFailed(common::TargetId target);
  /// It is published as draining from now on.
  void TargetDrained(common::TargetId target);
  /// It is published as serving again.
  void TargetReturned(common::TargetId target);
  /// It was not in use for the whole run, or lied: it says nothing of balance.
  void TargetUneven(common::TargetId target);
  /// @}

  const Tally& Counts() const { return this->tally; }
  Balance BalanceOf(common::ServiceId service) const;
  /// Time from request to whole answer below which `share` of them stayed.
  std::chrono::microseconds AnswerTime(double share) const;
  /// Lines about single faults, for tracing them in the instances' logs.
  const std::vector<std::string>& Faults() const { return this->faults; }

 private:
  struct TargetTruth {
    common::ServiceId service;
    std::uint32_t weight{0};
    std::uint64_t accepted{0};
    bool uneven{false};
    bool draining{false};
    std::chrono::microseconds drained_at{0};
  };

  void Report(const std::string& what, const std::string& where);

  const Scheduler& scheduler;
  Tally tally;
  std::unordered_map<common::TargetId, TargetTruth> targets;
  /// Which target holds a flow, until the flow ends.
  std::map<common::FlowKey, common::TargetId> holders;
  /// Flows whose target lost them.
  std::set<common::FlowKey> lost;
  std::map<Attempt, std::uint32_t> runs;
  std::map<RequestId, Attempt> ran;
  std::set<Attempt> refused_attempts;
  std::unordered_map<common::ServiceId, std::vector<std::chrono::microseconds>>
      waits;
  std::vector<std::chrono::microseconds> answer_times;
  std::vector<std::string> faults;
};

}  // namespace sassafrasdyke::rig

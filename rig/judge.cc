#include "rig/judge.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace sassafrasdyke::rig {
namespace {

/// "An upstream that is leaving receives no new work after a few seconds."
constexpr std::chrono::seconds kDrainGrace{5};
/// Enough to trace; a broken run would otherwise fill the memory.
constexpr std::size_t kMostFaults = 200;
constexpr double kTail = 0.99;

std::string NameOf(const Attempt& attempt) {
  return "request " + std::to_string(attempt.request.value) + " attempt " +
         std::to_string(attempt.number);
}

std::chrono::microseconds Quantile(std::vector<std::chrono::microseconds> times,
                                   double share) {
  if (times.empty()) {
    return std::chrono::microseconds{0};
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + rank, times.end());
  return times[static_cast<std::size_t>(rank)];
}

}  // namespace

void Judge::FlowOpened(const common::FlowKey&) { ++this->tally.flows; }

void Judge::FlowEstablished() { ++this->tally.established; }

void Judge::FlowFinished(const common::FlowKey& flow) {
  ++this->tally.finished;
  this->holders.erase(flow);
  this->lost.erase(flow);
}

void Judge::OpenFailed(const common::FlowKey& flow) {
  ++this->tally.failed_opens;
  this->holders.erase(flow);
  this->Report("open failed", flow.ToString());
}

void Judge::Refused(const common::FlowKey& flow, const Attempt& attempt) {
  ++this->tally.refused;
  this->holders.erase(flow);
  this->refused_attempts.insert(attempt);
  if (this->runs.contains(attempt)) {
    ++this->tally.false_not_run;
    this->Report("false not run, " + NameOf(attempt), flow.ToString());
  }
}

void Judge::ResetIgnored(const common::FlowKey& flow) {
  ++this->tally.ignored_resets;
  this->Report("RST ignored", flow.ToString());
}

void Judge::FlowBroken(const common::FlowKey& flow, Break cause,
                       bool inside_answer) {
  const auto holder = this->holders.find(flow);
  const std::string at =
      holder == this->holders.end()
          ? ""
          : " (held by target " + std::to_string(holder->second.value) + ")";
  if (inside_answer) {
    ++this->tally.incomplete_answers;
  }
  if (this->lost.erase(flow) > 0) {
    ++this->tally.lost_with_target;
  } else if (cause == Break::kReset) {
    ++this->tally.broken_reset;
    this->Report("broken by RST", flow.ToString() + at);
  } else if (cause == Break::kTimeout) {
    ++this->tally.broken_timeout;
    this->Report("broken by timeout", flow.ToString() + at);
  } else {
    ++this->tally.broken_unanswered;
    this->Report("unanswered at the end", flow.ToString() + at);
  }
  this->holders.erase(flow);
}

void Judge::AnswerPartCame(bool own) {
  if (!own) {
    ++this->tally.foreign_answers;
  }
}

void Judge::AnswerCompleted(std::chrono::microseconds took) {
  ++this->tally.answers;
  this->answer_times.push_back(took);
}

void Judge::FlowAccepted(const common::FlowKey& flow, common::TargetId target) {
  TargetTruth& truth = this->targets[target];
  ++truth.accepted;
  // A SYN whose first target failed may be placed again. While the first one
  // lives it stays the holder: a second placement is then the fault that
  // breaks the flow, and must not pass for the failure of a target.
  if (this->lost.erase(flow) > 0) {
    this->holders.insert_or_assign(flow, target);
  } else {
    this->holders.try_emplace(flow, target);
  }
  const bool late = this->scheduler.Now() - truth.drained_at > kDrainGrace;
  if (truth.draining && late) {
    ++this->tally.late_placements;
    this->Report("placed on draining target " + std::to_string(target.value),
                 flow.ToString());
  }
}

void Judge::RequestRan(const common::FlowKey& flow, const Request& request,
                       std::chrono::microseconds waited) {
  ++this->tally.requests;
  this->waits[request.service].push_back(waited);
  const bool again = ++this->runs[request.attempt] > 1;
  const auto [first, is_first] =
      this->ran.try_emplace(request.attempt.request, request.attempt);
  const bool other_attempt = !is_first && first->second != request.attempt;
  if (again || (other_attempt && !request.idempotent)) {
    ++this->tally.double_runs;
    this->Report("double run, " + NameOf(request.attempt), flow.ToString());
  }
  if (this->refused_attempts.contains(request.attempt)) {
    ++this->tally.false_not_run;
    this->Report("ran after not run, " + NameOf(request.attempt),
                 flow.ToString());
  }
}

void Judge::Misrouted(const common::FlowKey& flow, common::TargetId target) {
  ++this->tally.misrouted;
  this->Report("misrouted to target " + std::to_string(target.value),
               flow.ToString());
}

void Judge::TargetAdded(common::TargetId target, common::ServiceId service,
                        std::uint32_t weight) {
  TargetTruth& truth = this->targets[target];
  truth.service = service;
  truth.weight = weight;
}

void Judge::TargetFailed(common::TargetId target) {
  this->TargetUneven(target);
  for (const auto& [flow, holder] : this->holders) {
    if (holder == target) {
      this->lost.insert(flow);
    }
  }
}

void Judge::TargetDrained(common::TargetId target) {
  this->TargetUneven(target);
  TargetTruth& truth = this->targets[target];
  truth.draining = true;
  truth.drained_at = this->scheduler.Now();
}

void Judge::TargetReturned(common::TargetId target) {
  this->targets[target].draining = false;
}

void Judge::TargetUneven(common::TargetId target) {
  this->targets[target].uneven = true;
}

Balance Judge::BalanceOf(common::ServiceId service) const {
  double greatest = 0;
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [id, truth] : this->targets) {
    if (truth.service == service && !truth.uneven && truth.weight > 0) {
      const double share = static_cast<double>(truth.accepted) / truth.weight;
      greatest = std::max(greatest, share);
      sum += share;
      ++count;
    }
  }
  Balance balance;
  balance.imbalance = sum > 0 ? greatest * static_cast<double>(count) / sum : 0;
  const auto found = this->waits.find(service);
  if (found != this->waits.end()) {
    const auto& times = found->second;
    balance.requests = times.size();
    balance.mean_wait = std::accumulate(times.begin(), times.end(),
                                        std::chrono::microseconds{0}) /
                        static_cast<std::int64_t>(times.size());
    balance.p99_wait = Quantile(times, kTail);
  }
  return balance;
}

std::chrono::microseconds Judge::AnswerTime(double share) const {
  return Quantile(this->answer_times, share);
}

void Judge::Report(const std::string& what, const std::string& where) {
  if (this->faults.size() < kMostFaults) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->scheduler.Now());
    this->faults.push_back(std::to_string(at.count()) + " ms: " + what + ": " +
                           where);
  }
}

}  // namespace sassafrasdyke::rig

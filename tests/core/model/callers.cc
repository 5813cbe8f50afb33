#include "core/model/callers.h"

#include <algorithm>
#include <sstream>

#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::chrono::milliseconds kGivesUpAfter{std::chrono::seconds{30}};
constexpr std::chrono::milliseconds kRetryPause{500};
constexpr std::uint32_t kPayload = 100;
constexpr int kFinalRounds = 70;

const Target* FindTarget(const Configuration& configuration,
                         common::TargetId id) {
  for (const Target& target : configuration.targets) {
    if (target.id == id) {
      return &target;
    }
  }
  return nullptr;
}

std::string PathOf(const Fate& fate) {
  std::ostringstream text;
  for (const common::InstanceId id : fate.path) {
    text << id << ' ';
  }
  return text.str();
}

}  // namespace

void Callers::Knock(std::uint32_t service) {
  ModelFlow flow;
  flow.key = FlowOf(this->next_caller++, service);
  flow.service = service;
  flow.opened_at = this->fleet.Now();
  this->alive.push_back(this->flows.size());
  this->flows.push_back(flow);
  this->SendSyn(this->flows.back());
}

void Callers::Open(std::uint32_t service) {
  this->Knock(service);
  if (this->flows.back().fate == FlowFate::kOpen) {
    this->SendData(this->flows.back());
  }
}

bool Callers::TargetReachable(const Fate& fate) const {
  const Target* const target = FindTarget(this->fleet.Published(), fate.target);
  if (target == nullptr || target->tunnel != fate.tunnel) {
    return false;  // It has stopped.
  }
  const common::DomainId from = this->fleet.DomainOf(fate.decided_by);
  return from == target->domain ||
         (!this->fleet.IsCut(from) && !this->fleet.IsCut(target->domain));
}

void Callers::SendSyn(ModelFlow& flow) {
  const Fate fate = this->fleet.Send(this->fleet.AnyRunning(), Syn(flow.key));
  flow.last_path = PathOf(fate);
  if (fate.kind == Fate::Kind::kReset) {
    this->CheckReset(flow, fate);
    flow.fate = FlowFate::kRefused;
    return;
  }
  if (fate.kind != Fate::Kind::kForwarded) {
    this->OnStalled(flow);
    return;
  }
  this->CheckForwarded(flow, fate);
  flow.syn_forwarded = true;
  if (!this->TargetReachable(fate)) {
    this->OnStalled(flow);
    return;
  }
  flow.stalled_since.reset();
  flow.target = fate.target;
  flow.tunnel = fate.tunnel;
  flow.fate = FlowFate::kOpen;
}

void Callers::SendData(ModelFlow& flow) {
  const bool is_repeat = flow.stalled_since.has_value();
  flow.spoken_at = this->fleet.Now();
  flow.sequence += is_repeat ? 0 : kPayload;
  const Fate fate = this->fleet.Send(this->fleet.AnyRunning(),
                                     Data(flow.key, flow.sequence, kPayload));
  flow.last_path = PathOf(fate);
  if (fate.kind == Fate::Kind::kReset) {
    this->CheckReset(flow, fate);
    flow.fate = FlowFate::kReset;
    return;
  }
  if (fate.kind != Fate::Kind::kForwarded) {
    this->OnStalled(flow);
    return;
  }
  this->CheckForwarded(flow, fate);
  flow.payload_sent = true;
  if (!this->TargetReachable(fate)) {
    this->OnStalled(flow);
    return;
  }
  flow.stalled_since.reset();
  if (fate.tunnel != flow.tunnel) {
    flow.fate = FlowFate::kMisrouted;
    return;
  }
  flow.ran_at.insert(fate.target);
}

void Callers::OnStalled(ModelFlow& flow) {
  if (!flow.stalled_since) {
    flow.stalled_since = this->fleet.Now();
  }
  if (this->fleet.Now() - *flow.stalled_since > kGivesUpAfter) {
    flow.fate = FlowFate::kStalled;
  }
}

bool Callers::IsPublished(const common::Endpoint& tunnel) const {
  const auto& targets = this->fleet.Published().targets;
  return std::any_of(
      targets.begin(), targets.end(),
      [&tunnel](const Target& target) { return target.tunnel == tunnel; });
}

void Callers::CheckForwarded(ModelFlow& flow, const Fate& fate) {
  flow.sent_to.push_back(fate.tunnel);
  if (fate.target.value / kTargetsPerServiceLimit != flow.service) {
    this->Fail(flow, fate, "reached another service");
  }
  if (flow.fate != FlowFate::kConnecting || flow.syn_forwarded) {
    return;
  }
  // A new flow: the instance that placed it knew a revision, and whatever that
  // revision drains must not have got it.
  const Target* const target = FindTarget(this->fleet.Published(), fate.target);
  const bool draining =
      target == nullptr || target->state == TargetState::kDraining;
  if (draining && fate.revision == this->fleet.Published().revision) {
    this->Fail(flow, fate, "new work on a leaving target");
  }
}

void Callers::CheckReset(const ModelFlow& flow, const Fate& fate) {
  if (fate.reset == ResetReason::kNotRun && flow.payload_sent) {
    this->Fail(flow, fate, "was told that it had not run");
  }
  const bool all_there = std::all_of(
      flow.sent_to.begin(), flow.sent_to.end(),
      [this](const common::Endpoint& to) { return this->IsPublished(to); });
  if (fate.reset == ResetReason::kTargetGone && all_there) {
    this->Fail(flow, fate, "was reset though its target is published");
  }
}

void Callers::Fail(const ModelFlow& flow, const Fate& fate,
                   const std::string& what) {
  std::ostringstream text;
  text << flow.key.ToString() << " " << what << " at "
       << this->fleet.Now().count() << " ms, target " << flow.target
       << ", now to " << fate.target << " by " << PathOf(fate);
  this->faults.push_back(text.str());
}

ModelFlow* Callers::Pick(std::uint64_t pick) {
  while (!this->alive.empty()) {
    const std::size_t at = pick % this->alive.size();
    ModelFlow& flow = this->flows[this->alive[at]];
    if (flow.fate == FlowFate::kOpen || flow.fate == FlowFate::kConnecting) {
      return &flow;
    }
    this->alive[at] = this->alive.back();
    this->alive.pop_back();
  }
  return nullptr;
}

void Callers::Speak(std::uint64_t pick) {
  ModelFlow* const flow = this->Pick(pick);
  if (flow == nullptr) {
    return;
  }
  if (flow->fate == FlowFate::kConnecting) {
    this->SendSyn(*flow);
  } else {
    this->SendData(*flow);
  }
}

void Callers::Close(std::uint64_t pick) {
  ModelFlow* const flow = this->Pick(pick);
  if (flow == nullptr || flow->fate != FlowFate::kOpen) {
    return;
  }
  this->fleet.Send(this->fleet.AnyRunning(), Fin(flow->key, flow->sequence));
  flow->fate = FlowFate::kClosed;
}

void Callers::SpeakIfQuiet(std::chrono::milliseconds quiet) {
  for (ModelFlow& flow : this->flows) {
    if (flow.fate == FlowFate::kOpen && !flow.stalled_since &&
        this->fleet.Now() - flow.spoken_at >= quiet) {
      this->SendData(flow);
    }
  }
}

void Callers::Retry() {
  for (ModelFlow& flow : this->flows) {
    if (!flow.stalled_since) {
      continue;
    }
    if (flow.fate == FlowFate::kConnecting) {
      this->SendSyn(flow);
    } else if (flow.fate == FlowFate::kOpen) {
      this->SendData(flow);
    }
  }
}

void Callers::SpeakAll() {
  for (ModelFlow& flow : this->flows) {
    if (flow.fate == FlowFate::kOpen) {
      this->SendData(flow);
    }
  }
  for (int round = 0; round < kFinalRounds; ++round) {
    this->fleet.Pass(kRetryPause);
    this->Retry();
  }
}

ModelCounts Callers::Counts() const {
  ModelCounts counts;
  counts.opened = this->flows.size();
  for (const ModelFlow& flow : this->flows) {
    counts.open += flow.fate == FlowFate::kOpen ? 1 : 0;
    counts.misrouted += flow.fate == FlowFate::kMisrouted ? 1 : 0;
    counts.reset += flow.fate == FlowFate::kReset ? 1 : 0;
    counts.stalled += flow.fate == FlowFate::kStalled ? 1 : 0;
  }
  return counts;
}

std::map<common::TargetId, std::size_t> Callers::OpenByTarget() const {
  std::map<common::TargetId, std::size_t> open;
  for (const Target& target : this->fleet.Published().targets) {
    if (target.state == TargetState::kServing) {
      open[target.id] = 0;
    }
  }
  for (const ModelFlow& flow : this->flows) {
    if (flow.fate == FlowFate::kOpen) {
      ++open[flow.target];
    }
  }
  return open;
}

}  // namespace sassafrasdyke::core::testing

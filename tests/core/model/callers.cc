#include "core/model/callers.h"

#include <algorithm>
#include <sstream>

#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::chrono::milliseconds kStallTimeout{std::chrono::seconds{30}};
constexpr std::chrono::milliseconds kRetryInterval{500};
constexpr std::uint32_t kPayloadBytes = 100;
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

std::string PathOf(const PacketOutcome& outcome) {
  std::ostringstream text;
  for (const common::InstanceId id : outcome.path) {
    text << id << ' ';
  }
  return text.str();
}

}  // namespace

void Callers::SendSynOnly(std::uint32_t service) {
  ModelFlow flow;
  flow.key = FlowOf(this->next_caller++, service);
  flow.service = service;
  flow.opened_at = this->fleet.Now();
  this->live_flows.push_back(this->flows.size());
  this->flows.push_back(flow);
  this->SendSyn(this->flows.back());
}

void Callers::Open(std::uint32_t service) {
  this->SendSynOnly(service);
  if (this->flows.back().state == ModelFlowState::kOpen) {
    this->SendData(this->flows.back());
  }
}

bool Callers::TargetReachable(const PacketOutcome& outcome) const {
  const Target* const target =
      FindTarget(this->fleet.Published(), outcome.target);
  if (target == nullptr || target->tunnel != outcome.tunnel) {
    return false;  // The target has stopped.
  }
  const common::DomainId from = this->fleet.DomainOf(outcome.decided_by);
  return from == target->domain ||
         (!this->fleet.IsCut(from) && !this->fleet.IsCut(target->domain));
}

void Callers::SendSyn(ModelFlow& flow) {
  const PacketOutcome outcome =
      this->fleet.Send(this->fleet.AnyRunning(), Syn(flow.key));
  flow.last_path = PathOf(outcome);
  if (outcome.kind == PacketOutcome::Kind::kReset) {
    this->CheckReset(flow, outcome);
    flow.state = ModelFlowState::kRefused;
    return;
  }
  if (outcome.kind != PacketOutcome::Kind::kForwarded) {
    this->OnStalled(flow);
    return;
  }
  this->CheckForwarded(flow, outcome);
  flow.syn_forwarded = true;
  if (!this->TargetReachable(outcome)) {
    this->OnStalled(flow);
    return;
  }
  flow.stalled_since.reset();
  flow.target = outcome.target;
  flow.tunnel = outcome.tunnel;
  flow.state = ModelFlowState::kOpen;
}

void Callers::SendData(ModelFlow& flow) {
  const bool is_repeat = flow.stalled_since.has_value();
  flow.last_sent_at = this->fleet.Now();
  flow.sequence += is_repeat ? 0 : kPayloadBytes;
  const PacketOutcome outcome = this->fleet.Send(
      this->fleet.AnyRunning(), Data(flow.key, flow.sequence, kPayloadBytes));
  flow.last_path = PathOf(outcome);
  if (outcome.kind == PacketOutcome::Kind::kReset) {
    this->CheckReset(flow, outcome);
    flow.state = ModelFlowState::kReset;
    return;
  }
  if (outcome.kind != PacketOutcome::Kind::kForwarded) {
    this->OnStalled(flow);
    return;
  }
  this->CheckForwarded(flow, outcome);
  flow.payload_sent = true;
  if (!this->TargetReachable(outcome)) {
    this->OnStalled(flow);
    return;
  }
  flow.stalled_since.reset();
  if (outcome.tunnel != flow.tunnel) {
    flow.state = ModelFlowState::kMisrouted;
    return;
  }
  flow.payload_targets.insert(outcome.target);
}

void Callers::OnStalled(ModelFlow& flow) {
  if (!flow.stalled_since) {
    flow.stalled_since = this->fleet.Now();
  }
  if (this->fleet.Now() - *flow.stalled_since > kStallTimeout) {
    flow.state = ModelFlowState::kStalled;
  }
}

bool Callers::IsPublished(const common::Endpoint& tunnel) const {
  const auto& targets = this->fleet.Published().targets;
  return std::any_of(
      targets.begin(), targets.end(),
      [&tunnel](const Target& target) { return target.tunnel == tunnel; });
}

void Callers::CheckForwarded(ModelFlow& flow, const PacketOutcome& outcome) {
  flow.sent_to.push_back(outcome.tunnel);
  if (outcome.target.value / kTargetsPerServiceLimit != flow.service) {
    this->RecordFault(flow, outcome, "reached another service");
  }
  if (flow.state != ModelFlowState::kConnecting || flow.syn_forwarded) {
    return;
  }
  // A new flow must not go to a target that drains in the revision in force on
  // the instance that placed it.
  const Target* const target =
      FindTarget(this->fleet.Published(), outcome.target);
  const bool draining =
      target == nullptr || target->state == TargetState::kDraining;
  if (draining && outcome.revision == this->fleet.Published().revision) {
    this->RecordFault(flow, outcome, "new work on a leaving target");
  }
}

void Callers::CheckReset(const ModelFlow& flow, const PacketOutcome& outcome) {
  if (outcome.reset == ResetReason::kNotRun && flow.payload_sent) {
    this->RecordFault(flow, outcome, "was told that it had not run");
  }
  const bool all_published = std::all_of(
      flow.sent_to.begin(), flow.sent_to.end(),
      [this](const common::Endpoint& to) { return this->IsPublished(to); });
  if (outcome.reset == ResetReason::kTargetGone && all_published) {
    this->RecordFault(flow, outcome,
                      "was reset though its target is published");
  }
}

void Callers::RecordFault(const ModelFlow& flow, const PacketOutcome& outcome,
                          const std::string& what) {
  std::ostringstream text;
  text << flow.key.ToString() << " " << what << " at "
       << this->fleet.Now().count() << " ms, target " << flow.target
       << ", now to " << outcome.target << " by " << PathOf(outcome);
  this->faults.push_back(text.str());
}

ModelFlow* Callers::Pick(std::uint64_t pick) {
  while (!this->live_flows.empty()) {
    const std::size_t at = pick % this->live_flows.size();
    ModelFlow& flow = this->flows[this->live_flows[at]];
    if (flow.state == ModelFlowState::kOpen ||
        flow.state == ModelFlowState::kConnecting) {
      return &flow;
    }
    this->live_flows[at] = this->live_flows.back();
    this->live_flows.pop_back();
  }
  return nullptr;
}

void Callers::SendNext(std::uint64_t pick) {
  ModelFlow* const flow = this->Pick(pick);
  if (flow == nullptr) {
    return;
  }
  if (flow->state == ModelFlowState::kConnecting) {
    this->SendSyn(*flow);
  } else {
    this->SendData(*flow);
  }
}

void Callers::Close(std::uint64_t pick) {
  ModelFlow* const flow = this->Pick(pick);
  if (flow == nullptr || flow->state != ModelFlowState::kOpen) {
    return;
  }
  this->fleet.Send(this->fleet.AnyRunning(), Fin(flow->key, flow->sequence));
  flow->state = ModelFlowState::kClosed;
}

void Callers::SendIfIdle(std::chrono::milliseconds idle) {
  for (ModelFlow& flow : this->flows) {
    if (flow.state == ModelFlowState::kOpen && !flow.stalled_since &&
        this->fleet.Now() - flow.last_sent_at >= idle) {
      this->SendData(flow);
    }
  }
}

void Callers::Retry() {
  for (ModelFlow& flow : this->flows) {
    if (!flow.stalled_since) {
      continue;
    }
    if (flow.state == ModelFlowState::kConnecting) {
      this->SendSyn(flow);
    } else if (flow.state == ModelFlowState::kOpen) {
      this->SendData(flow);
    }
  }
}

void Callers::SpeakAll() {
  for (ModelFlow& flow : this->flows) {
    if (flow.state == ModelFlowState::kOpen) {
      this->SendData(flow);
    }
  }
  for (int round = 0; round < kFinalRounds; ++round) {
    this->fleet.Pass(kRetryInterval);
    this->Retry();
  }
}

ModelCounts Callers::Counts() const {
  ModelCounts counts;
  counts.opened = this->flows.size();
  for (const ModelFlow& flow : this->flows) {
    counts.open += flow.state == ModelFlowState::kOpen ? 1 : 0;
    counts.misrouted += flow.state == ModelFlowState::kMisrouted ? 1 : 0;
    counts.reset += flow.state == ModelFlowState::kReset ? 1 : 0;
    counts.stalled += flow.state == ModelFlowState::kStalled ? 1 : 0;
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
    if (flow.state == ModelFlowState::kOpen) {
      ++open[flow.target];
    }
  }
  return open;
}

}  // namespace sassafrasdyke::core::testing

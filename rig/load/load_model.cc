#include "rig/load/load_model.h"

#include <algorithm>
#include <array>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::rig {
namespace {

using namespace std::chrono_literals;
using Time = EventQueue::Time;

/// When a client sends the copies of a SYN.
constexpr std::array<Time, 3> kCopies{0ms, 200ms, 600ms};
constexpr Time kTryEnds = 1400ms;
constexpr unsigned kTries = 3;
/// When a client repeats a request that no target has; the pauses double.
constexpr Time kRepeat = 200ms;
constexpr unsigned kRepeats = 4;
/// A client's own time between an answer and its next try.
constexpr Time kTriesAgainAfter = 1ms;
constexpr std::uint32_t kRequestBytes = 100;
constexpr std::uint32_t kAnswerBytes = 1000;
/// Requests after which a client ends a flow that it keeps open.
constexpr std::uint32_t kMostRequestsPerFlow = 30;
constexpr std::uint64_t kTargetSalt = 0x74617267;

constexpr std::uint32_t kCallerAddress = 0x64400000;  // 100.64.0.0
constexpr double kLateWorth = 0.3;

std::uint64_t KeyOf(const common::Endpoint& caller) {
  return (static_cast<std::uint64_t>(caller.address.V4()) << 16U) | caller.port;
}

}  // namespace

LoadCell LoadOutcome::Sum() const {
  LoadCell sum;
  for (const std::vector<LoadCell>& second : this->cells) {
    for (const LoadCell& cell : second) {
      sum.asked += cell.asked;
      sum.in_time += cell.in_time;
      sum.late += cell.late;
      sum.failed += cell.failed;
    }
  }
  return sum;
}

LoadCell LoadOutcome::Others() const {
  const LoadCell sum = this->Sum();
  return {sum.asked - this->heavy.asked, sum.in_time - this->heavy.in_time,
          sum.late - this->heavy.late, sum.failed - this->heavy.failed};
}

double WorthOf(const LoadCell& cell) {
  return cell.asked == 0 ? 1.0
                         : (cell.in_time + kLateWorth * cell.late) / cell.asked;
}

LoadModel::LoadModel(const LoadScenario& scenario, PolicyVariant variant)
    : scenario(scenario),
      fleet(
          this->scenario,
          [variant](const ModelPlace& place,
                    const core::Publication& publication) {
            return MakeBalancer(variant, place, publication);
          },
          this->events, *this),
      troubles(this->scenario, this->events, this->targets, this->fleet) {
  for (std::size_t d = 0; d < scenario.domains.size(); ++d) {
    for (std::size_t i = 0; i < scenario.domains[d].targets; ++i) {
      this->targets.emplace_back(
          d, this->scenario.service, this->events,
          common::HashNumbers(scenario.seed, this->targets.size(),
                              kTargetSalt));
    }
  }
}

LoadOutcome LoadModel::Play() {
  this->troubles.PublishInitial();
  this->fleet.Start();
  for (const LoadArrival& arrival : DrawArrivals(this->scenario)) {
    this->events.After(arrival.at,
                       [this, arrival] { this->StartRequest(arrival); });
  }
  this->troubles.Schedule();
  this->events.RunUntil(this->scenario.length +
                        this->scenario.service.deadline);
  return this->outcome;
}

void LoadModel::StartRequest(LoadArrival arrival) {
  this->requests.push_back({arrival});
  const RequestId id = this->requests.size() - 1;
  ++this->CellOf(this->requests[id]).asked;
  this->outcome.heavy.asked += arrival.heavy ? 1 : 0;
  this->events.After(this->scenario.service.deadline,
                     [this, id] { this->GiveUp(id); });
  this->StartTry(id);
}

// Only the first try of a request uses a flow that is already open: whoever
// tries again opens another.
void LoadModel::StartTry(RequestId id) {
  Request& request = this->requests[id];
  ++request.tries;
  request.at_target = request.hung = false;
  std::vector<FlowId>& idle = this->callers[request.arrival.caller].idle;
  std::erase_if(idle, [this](FlowId flow) { return this->flows[flow].reset; });
  if (request.tries == 1 && request.arrival.keeps_flow && !idle.empty()) {
    const FlowId flow = idle.back();
    idle.pop_back();
    this->flows[flow].request = id;
    request.flow = flow;
    ++this->outcome.further;
    this->SendData(id, flow, 0);
    return;
  }
  const FlowId flow = this->OpenFlow(id);
  request.flow = flow;
  for (std::uint32_t copy = 0; copy < kCopies.size(); ++copy) {
    this->events.After(kCopies.at(copy), [this, id, flow, copy] {
      this->SendSyn(id, flow, copy);
    });
  }
  this->events.After(kTryEnds, [this, id, flow] {
    if (this->flows[flow].word == 0) {
      this->FailTry(id, flow);
    }
  });
}

LoadModel::FlowId LoadModel::OpenFlow(RequestId id) {
  const std::uint32_t caller = this->requests[id].arrival.caller;
  Flow& flow = this->flows.emplace_back();
  flow.request = id;
  flow.caller = {common::IpAddress::FromV4(kCallerAddress + caller),
                 ++this->callers[caller].last_port};
  this->flows_by_caller[KeyOf(flow.caller)] = this->flows.size() - 1;
  return this->flows.size() - 1;
}

bool LoadModel::IsPresent(RequestId id, FlowId flow) const {
  return !this->requests[id].done && this->requests[id].flow == flow;
}

void LoadModel::SendSyn(RequestId id, FlowId flow, std::uint32_t copy) {
  if (!this->IsPresent(id, flow) || this->flows[flow].word != 0) {
    return;
  }
  core::FlowPacket syn = this->PacketOf(flow);
  syn.flags.syn = true;
  syn.repeats = copy;
  this->SendPacket(flow, syn);
}

void LoadModel::SendData(RequestId id, FlowId flow, unsigned repeats) {
  if (!this->IsPresent(id, flow) || this->requests[id].at_target) {
    return;
  }
  core::FlowPacket data = this->PacketOf(flow);
  data.flags.ack = true;
  data.payload_bytes = kRequestBytes;
  this->SendPacket(flow, data);
  if (repeats < kRepeats) {
    this->events.After(kRepeat * (1U << repeats), [this, id, flow, repeats] {
      this->SendData(id, flow, repeats + 1);
    });
  }
}

void LoadModel::SendAcknowledgement(FlowId flow) {
  ++this->flows[flow].answered;
  core::FlowPacket ack = this->PacketOf(flow);
  ack.flags.ack = true;
  this->SendPacket(flow, ack);
}

void LoadModel::SendEnd(FlowId flow) {
  core::FlowPacket end = this->PacketOf(flow);
  end.flags.ack = true;
  end.flags.fin = true;
  this->SendPacket(flow, end);
}

core::FlowPacket LoadModel::PacketOf(FlowId id) const {
  const Flow& flow = this->flows[id];
  core::FlowPacket packet;
  packet.flow = {flow.caller, RouteEndpoint()};
  packet.word = {flow.word};
  packet.sequence = kRequestBytes * flow.answered;
  packet.acknowledgement = kAnswerBytes * flow.answered;
  return packet;
}

void LoadModel::SendPacket(FlowId flow, const core::FlowPacket& packet) {
  const std::size_t domain =
      this->requests[this->flows[flow].request].arrival.domain;
  this->events.After(this->scenario.client_delay, [this, packet, domain] {
    this->fleet.OnPacket(packet, domain);
  });
}

bool LoadModel::IsCut(RequestId id, std::size_t target) const {
  return this->scenario.IsCut(this->targets[target].Domain(),
                              this->requests[id].arrival.domain,
                              this->events.Now());
}

bool LoadModel::Accepts(std::size_t instance_domain, std::uint32_t word) const {
  const TargetModel& target = this->targets[word - 1];
  return !target.dead && !this->scenario.IsCut(instance_domain, target.Domain(),
                                               this->events.Now());
}

void LoadModel::Send(std::size_t instance_domain, const Forwarded& out) {
  const FlowId flow = this->flows_by_caller.at(KeyOf(out.packet.flow.caller));
  const RequestId id = this->flows[flow].request;
  if (out.word == 0) {
    ++this->outcome.refused;
    this->flows[flow].reset = true;
    this->events.After(this->scenario.client_delay,
                       [this, id, flow] { this->FailTry(id, flow); });
    return;
  }
  const std::size_t target = out.word - 1;
  const std::size_t domain = this->targets[target].Domain();
  if (this->scenario.IsCut(instance_domain, domain, this->events.Now())) {
    return;
  }
  const Time delay = DelayBetween(this->scenario, instance_domain, domain);
  if (out.packet.flags.syn) {
    this->events.After(delay, [this, id, flow, target] {
      this->OnSynAtTarget(id, flow, target);
    });
  } else if (out.packet.payload_bytes > 0) {
    this->events.After(delay, [this, id, flow, target] {
      this->OnDataAtTarget(id, flow, target);
    });
  }
}

void LoadModel::OnSynAtTarget(RequestId id, FlowId flow, std::size_t target) {
  if (this->targets[target].dead || this->IsCut(id, target)) {
    return;
  }
  this->CountOpening(id, target);
  this->events.After(this->scenario.client_delay, [this, id, flow, target] {
    if (this->IsPresent(id, flow) && this->flows[flow].word == 0) {
      this->flows[flow].word = WordOfTarget(target);
      this->SendData(id, flow, 0);
    }
  });
}

void LoadModel::CountOpening(RequestId id, std::size_t target) {
  TargetModel& at = this->targets[target];
  const std::size_t domain = at.Domain();
  this->outcome.at_evacuated += this->troubles.IsEvacuated(domain) ? 1 : 0;
  this->outcome.other_domain +=
      domain == this->requests[id].arrival.domain ? 0 : 1;
  if (at.cold) {
    this->outcome.most_at_cold = std::max(this->outcome.most_at_cold,
                                          static_cast<int>(at.CountOpening()));
  }
}

void LoadModel::OnDataAtTarget(RequestId id, FlowId flow, std::size_t target) {
  Request& request = this->requests[id];
  TargetModel& at = this->targets[target];
  if (at.dead || request.flow != flow || request.at_target || request.hung) {
    return;
  }
  const RequestReception reception = at.OnRequest(
      request.arrival.work,
      [this, id, flow, target] { this->OnProcessed(id, flow, target); });
  // The client of a hung request doesn't learn that its target has it.
  request.hung = reception == RequestReception::kHung;
  request.at_target = !request.hung;
  if (reception == RequestReception::kRejected ||
      reception == RequestReception::kReset) {
    ++this->outcome.turned_away;
    this->events.After(this->scenario.client_delay,
                       [this, id, flow, reception] {
                         if (reception == RequestReception::kRejected) {
                           this->SendAcknowledgement(flow);
                           this->SendEnd(flow);
                         }
                         this->FailTry(id, flow);
                       });
  }
}

void LoadModel::OnProcessed(RequestId id, FlowId flow, std::size_t target) {
  if (!this->targets[target].dead && !this->IsCut(id, target)) {
    this->events.After(this->scenario.client_delay,
                       [this, id, flow] { this->OnAnswer(id, flow); });
  }
}

void LoadModel::OnAnswer(RequestId id, FlowId flow) {
  const Request& request = this->requests[id];
  this->SendAcknowledgement(flow);
  if (request.arrival.keeps_flow && this->IsPresent(id, flow) &&
      this->flows[flow].answered < kMostRequestsPerFlow) {
    this->callers[request.arrival.caller].idle.push_back(flow);
  } else {
    this->SendEnd(flow);
  }
  if (request.flow == flow) {
    this->Finish(id, true);
  }
}

void LoadModel::FailTry(RequestId id, FlowId flow) {
  if (!this->IsPresent(id, flow)) {
    return;
  }
  if (this->requests[id].tries >= kTries) {
    this->Finish(id, false);
    return;
  }
  this->events.After(kTriesAgainAfter, [this, id, flow] {
    if (this->IsPresent(id, flow)) {
      this->StartTry(id);
    }
  });
}

void LoadModel::GiveUp(RequestId id) {
  const Request& request = this->requests[id];
  if (!request.done && request.hung) {
    core::FlowPacket reset = this->PacketOf(request.flow);
    reset.flags.rst = true;
    this->SendPacket(request.flow, reset);
  }
  this->Finish(id, false);
}

void LoadModel::Finish(RequestId id, bool served) {
  Request& request = this->requests[id];
  if (request.done) {
    return;
  }
  request.done = true;
  const bool in_time = this->events.Now() - request.arrival.at <=
                       this->scenario.service.objective;
  const auto count = [&](LoadCell& cell) {
    (!served ? cell.failed : in_time ? cell.in_time : cell.late) += 1;
  };
  count(this->CellOf(request));
  if (request.arrival.heavy) {
    count(this->outcome.heavy);
  }
}

LoadCell& LoadModel::CellOf(const Request& request) {
  const auto second = static_cast<std::size_t>(request.arrival.at / 1s);
  while (this->outcome.cells.size() <= second) {
    this->outcome.cells.emplace_back(this->scenario.domains.size());
  }
  return this->outcome.cells[second][request.arrival.domain];
}

}  // namespace sassafrasdyke::rig

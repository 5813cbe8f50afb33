#include "rig/callers.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr std::chrono::milliseconds kFirstSynRetry{1000};
constexpr std::chrono::milliseconds kFirstRetry{300};
constexpr std::chrono::milliseconds kLongestRetry{4000};
constexpr std::chrono::milliseconds kReopenAfter{200};
/// Times that work is tried again after a "not run".
constexpr std::uint32_t kMostAttempts = 4;
constexpr std::uint32_t kPercent = 100;
/// 10.0.0.0/8 for IPv4 callers.
constexpr std::uint32_t kCallerNet = 0x0A000000;
constexpr std::uint64_t kPortsPerCaller = 60'000;
constexpr std::uint16_t kFirstPort = 1024;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kV6CounterAt = 12;

/// 2001:db8:: with `number` in its last four bytes.
common::IpAddress V6Caller(std::uint32_t number) {
  common::IpAddress::Bytes bytes{0x20, 0x01, 0x0d, 0xb8};
  for (std::size_t i = 0; i < sizeof(number); ++i) {
    bytes[kV6CounterAt + i] = static_cast<std::uint8_t>(
        number >> (kBitsPerByte * (sizeof(number) - 1 - i)));
  }
  return common::IpAddress(bytes);
}

}  // namespace

Callers::Callers(const LoadShape& shape, std::uint64_t seed,
                 Scheduler& scheduler, Judge& judge, SegmentSink& sink)
    : shape(shape),
      scheduler(scheduler),
      judge(judge),
      sink(sink),
      random(seed) {}

void Callers::Start() {
  for (std::size_t i = 0; i < this->shape.services.size(); ++i) {
    const ServiceLoad& load = this->shape.services[i];
    for (std::size_t opened = 0; opened < load.long_flows; ++opened) {
      const auto delay = std::chrono::microseconds{std::chrono::seconds{1}} *
                         opened / load.long_flows;
      this->scheduler.After(delay, [this, i] { this->OpenFlow(i, true); });
    }
    if (load.flows_per_second > 0) {
      this->ScheduleArrival(i);
    }
  }
}

void Callers::ScheduleArrival(std::size_t service) {
  std::exponential_distribution<double> gap(
      this->shape.services[service].flows_per_second);
  const std::chrono::duration<double> seconds(gap(this->random));
  this->scheduler.After(
      std::chrono::duration_cast<std::chrono::microseconds>(seconds),
      [this, service] {
        if (!this->stopping) {
          this->OpenFlow(service, false);
          this->ScheduleArrival(service);
        }
      });
}

void Callers::Stop() {
  this->stopping = true;
  for (auto& [key, flow] : this->flows) {
    if (flow.is_long && flow.state == State::kOpen && !flow.waiting) {
      this->Ask(key, flow);
    }
  }
}

void Callers::Close() {
  while (!this->flows.empty()) {
    auto& [key, flow] = *this->flows.begin();
    if (flow.state == State::kOpening) {
      this->judge.OpenFailed(key);
    } else if (flow.state == State::kClosing) {
      this->judge.FlowFinished(key);
    } else {
      this->judge.FlowBroken(key, Break::kUnanswered, flow.parts_seen > 0);
    }
    this->flows.erase(this->flows.begin());
  }
}

void Callers::OpenFlow(std::size_t service, bool is_long,
                       std::optional<Request> again) {
  if (this->stopping || this->next_flow > this->shape.most_flows) {
    return;
  }
  const common::FlowKey key = this->NewKey(service);
  Flow& flow = this->flows[key];
  flow.id = FlowId{this->next_flow++};
  flow.service = service;
  flow.is_long = is_long;
  flow.send_next = static_cast<std::uint32_t>(this->random());
  flow.request = again ? *again : this->NewRequest(flow);
  flow.request.flow = flow.id;
  flow.asked_at = this->scheduler.Now();
  this->judge.FlowOpened(key);
  const bool fast = !is_long && this->Chance(this->shape.fast_open_percent);
  flow.waiting = fast;
  this->Transmit(key, flow, {.syn = true},
                 fast ? Encode(flow.request) : std::vector<std::uint8_t>{});
}

common::FlowKey Callers::NewKey(std::size_t service) {
  const common::Endpoint& address = this->shape.services[service].address;
  const bool v4 = address.address.IsV4();
  const auto number =
      static_cast<std::uint32_t>(this->next_flow / kPortsPerCaller + 1);
  const auto port = static_cast<std::uint16_t>(
      kFirstPort + this->next_flow % kPortsPerCaller);
  // Callers are many: the low bits vary with the flow, not only the port.
  const auto spread =
      static_cast<std::uint32_t>(this->next_flow % kPortsPerCaller)
      << kBitsPerByte;
  const common::IpAddress caller =
      v4 ? common::IpAddress::FromV4(kCallerNet | spread | number)
         : V6Caller(spread | number);
  return common::FlowKey{{caller, port}, address};
}

Request Callers::NewRequest(const Flow& flow) {
  return Request{
      .service = this->shape.services[flow.service].service,
      .flow = flow.id,
      .attempt = {.request = RequestId{this->next_request++}, .number = 0},
      .idempotent = this->Chance(this->shape.idempotent_percent)};
}

void Callers::Ask(const common::FlowKey& key, Flow& flow) {
  flow.waiting = true;
  flow.parts_seen = 0;
  flow.asked_at = this->scheduler.Now();
  this->Transmit(key, flow, {.ack = true}, Encode(flow.request));
}

void Callers::Transmit(const common::FlowKey& key, Flow& flow,
                       core::TcpFlags flags,
                       std::vector<std::uint8_t> payload) {
  flow.in_flight = Segment{
      Heading::kToService, key, flags, flow.send_next, flow.receive_next,
      std::move(payload)};
  flow.retries = 0;
  this->sink.Send(*flow.in_flight);
  this->ArmTimer(key, flow);
}

void Callers::Acknowledge(const common::FlowKey& key, const Flow& flow) {
  this->sink.Send(Segment{Heading::kToService,
                          key,
                          {.ack = true},
                          flow.send_next,
                          flow.receive_next,
                          {}});
}

void Callers::ArmTimer(const common::FlowKey& key, Flow& flow) {
  flow.timer = this->next_timer++;
  const auto first =
      flow.state == State::kOpening ? kFirstSynRetry : kFirstRetry;
  const auto delay = std::min<std::chrono::milliseconds>(
      first * (1U << flow.retries), kLongestRetry);
  this->scheduler.After(
      delay, [this, key, timer = flow.timer] { this->OnTimer(key, timer); });
}

void Callers::OnTimer(const common::FlowKey& key, std::uint64_t timer) {
  const auto found = this->flows.find(key);
  if (found == this->flows.end() || found->second.timer != timer) {
    return;
  }
  Flow& flow = found->second;
  if (!flow.in_flight) {
    return;
  }
  if (++flow.retries > this->shape.most_retries) {
    this->GiveUp(key, flow);
    return;
  }
  flow.in_flight->acknowledgement = flow.receive_next;
  this->sink.Send(*flow.in_flight);
  this->ArmTimer(key, flow);
}

void Callers::GiveUp(const common::FlowKey& key, Flow& flow) {
  if (flow.state == State::kOpen) {
    this->Break(key, flow, rig::Break::kTimeout);
    return;
  }
  if (flow.state == State::kOpening) {
    this->judge.OpenFailed(key);
  } else {
    this->judge.FlowFinished(key);  // Every answer came; only the FIN is lost.
  }
  this->flows.erase(key);
}

void Callers::OnSegment(const Segment& segment) {
  const auto found = this->flows.find(segment.flow);
  if (found == this->flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (segment.flags.rst) {
    this->OnReset(segment, flow);
  } else if (flow.state == State::kOpening) {
    this->OnSynAck(segment, flow);
  } else {
    this->OnOpen(segment, flow);
  }
}

void Callers::OnSynAck(const Segment& segment, Flow& flow) {
  const std::uint32_t confirmed =
      segment.acknowledgement - flow.in_flight->sequence;
  if (!segment.flags.syn || !segment.flags.ack || confirmed == 0 ||
      confirmed > flow.in_flight->Length()) {
    return;
  }
  this->judge.FlowEstablished();
  flow.state = State::kOpen;
  flow.send_next = segment.acknowledgement;
  flow.receive_next = segment.sequence + 1;
  const bool whole = confirmed == flow.in_flight->Length();
  if (flow.waiting && whole) {
    flow.in_flight.reset();
    this->Acknowledge(segment.flow, flow);
  } else {
    this->Ask(segment.flow, flow);
  }
}

void Callers::OnReset(const Segment& segment, Flow& flow) {
  const common::FlowKey key = segment.flow;
  if (flow.state == State::kOpening) {
    if (!segment.flags.ack ||
        segment.acknowledgement !=
            flow.in_flight->sequence + flow.in_flight->Length()) {
      this->judge.ResetIgnored(key);
      return;
    }
    this->judge.Refused(key, flow.request.attempt);
    this->Reopen(flow.service, flow.request, flow.is_long);
    this->flows.erase(key);
  } else if (segment.sequence != flow.receive_next) {
    this->judge.ResetIgnored(key);  // Not in the window (RFC 5961).
  } else if (flow.state == State::kClosing) {
    this->judge.FlowFinished(key);
    this->flows.erase(key);
  } else {
    this->Break(key, flow, rig::Break::kReset);
  }
}

void Callers::OnOpen(const Segment& segment, Flow& flow) {
  if (!segment.flags.syn && flow.in_flight &&
      segment.acknowledgement ==
          flow.in_flight->sequence + flow.in_flight->Length()) {
    flow.send_next = segment.acknowledgement;
    flow.in_flight.reset();
  }
  if (!segment.payload.empty()) {
    this->OnPayload(segment, flow);
    return;
  }
  if (flow.state == State::kClosing && segment.flags.fin &&
      segment.sequence == flow.receive_next) {
    ++flow.receive_next;
    this->Acknowledge(segment.flow, flow);
    this->judge.FlowFinished(segment.flow);
    this->flows.erase(segment.flow);
  }
}

void Callers::OnPayload(const Segment& segment, Flow& flow) {
  const common::FlowKey key = segment.flow;
  if (Before(segment.sequence, flow.receive_next)) {
    this->Acknowledge(key, flow);  // A repeat.
    return;
  }
  flow.early.emplace(segment.sequence, segment.payload);
  for (auto next = flow.early.find(flow.receive_next); next != flow.early.end();
       next = flow.early.find(flow.receive_next)) {
    const std::vector<std::uint8_t> payload = std::move(next->second);
    flow.early.erase(next);
    if (!this->OnAnswerPart(key, flow, payload)) {
      return;
    }
  }
}

bool Callers::OnAnswerPart(const common::FlowKey& key, Flow& flow,
                           std::span<const std::uint8_t> payload) {
  flow.receive_next += static_cast<std::uint32_t>(payload.size());
  const auto part = DecodeAnswerPart(payload);
  const Request& request = flow.request;
  const bool own = part && flow.waiting && part->service == request.service &&
                   part->flow == flow.id && part->attempt == request.attempt &&
                   part->index == flow.parts_seen;
  this->judge.AnswerPartCame(own);
  if (!own) {
    this->Break(key, flow, rig::Break::kReset);
    return false;
  }
  ++flow.parts_seen;
  if (flow.parts_seen == part->count) {
    this->OnAnswered(key, flow);
  }
  return true;
}

void Callers::OnAnswered(const common::FlowKey& key, Flow& flow) {
  this->judge.AnswerCompleted(this->scheduler.Now() - flow.asked_at);
  flow.waiting = false;
  flow.parts_seen = 0;
  // The answer confirms the request even if its own confirmation was lost.
  if (flow.in_flight) {
    flow.send_next = flow.in_flight->sequence + flow.in_flight->Length();
    flow.in_flight.reset();
  }
  if (!flow.is_long || this->stopping) {
    flow.state = State::kClosing;
    this->Transmit(key, flow, {.ack = true, .fin = true}, {});
    return;
  }
  this->Acknowledge(key, flow);
  flow.request = this->NewRequest(flow);
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  const auto pause = std::chrono::duration_cast<std::chrono::microseconds>(
      this->shape.pause * factor(this->random));
  this->scheduler.After(pause, [this, key, id = flow.id] {
    const auto found = this->flows.find(key);
    if (found != this->flows.end() && found->second.id == id &&
        found->second.state == State::kOpen && !found->second.waiting) {
      this->Ask(key, found->second);
    }
  });
}

void Callers::Break(const common::FlowKey& key, Flow& flow, rig::Break cause) {
  this->judge.FlowBroken(key, cause, flow.parts_seen > 0);
  // The outcome is unknown: only what may run twice is tried again.
  const bool again = flow.waiting && flow.request.idempotent;
  const std::optional<Request> request =
      again ? std::optional(flow.request) : std::nullopt;
  if (again || flow.is_long) {
    this->Reopen(flow.service, request, flow.is_long);
  }
  this->flows.erase(key);
}

void Callers::Reopen(std::size_t service, std::optional<Request> again,
                     bool is_long) {
  if (again && ++again->attempt.number >= kMostAttempts) {
    again.reset();
    if (!is_long) {
      return;
    }
  }
  this->scheduler.After(kReopenAfter, [this, service, again, is_long] {
    this->OpenFlow(service, is_long, again);
  });
}

bool Callers::Chance(std::uint32_t percent) {
  return this->random() % kPercent < percent;
}

}  // namespace sassafrasdyke::rig

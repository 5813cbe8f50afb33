#include "rig/target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sassafrasdyke::rig {
namespace {

constexpr std::chrono::milliseconds kFirstRetry{300};
constexpr std::uint32_t kMostRetries = 6;

}  // namespace

StandInTarget::StandInTarget(const TargetShape& shape, Scheduler& scheduler,
                             Judge& judge, SegmentSink& sink)
    : shape(shape),
      scheduler(scheduler),
      judge(judge),
      sink(sink),
      started_at(scheduler.Now()) {}

void StandInTarget::OnSegment(const Segment& segment) {
  if (segment.flow.service != this->shape.address) {
    this->judge.Misrouted(segment.flow, this->shape.id);
    return;
  }
  if (this->down || this->forgotten.contains(segment.flow)) {
    return;
  }
  const auto found = this->connections.find(segment.flow);
  if (segment.flags.rst) {
    if (found != this->connections.end()) {
      this->connections.erase(found);
    }
  } else if (segment.flags.syn) {
    this->OnSyn(segment);
  } else if (found != this->connections.end()) {
    this->OnEstablished(segment, found->second);
  } else {
    this->Reply(segment.flow, {.rst = true}, segment.acknowledgement, 0);
  }
}

void StandInTarget::OnSyn(const Segment& segment) {
  const auto found = this->connections.find(segment.flow);
  const bool is_new = found == this->connections.end();
  const bool full = this->connections.size() >= this->shape.connections ||
                    this->queue.size() >= this->shape.shed_at;
  if (is_new && full) {
    this->Reply(segment.flow, {.ack = true, .rst = true}, 0,
                segment.sequence + segment.Length());
    return;
  }
  Connection& connection = this->connections[segment.flow];
  if (is_new) {
    this->judge.FlowAccepted(segment.flow, this->shape.id);
    connection.receive_next = segment.sequence + 1;
    // Any start will do; one that depends on the target makes data of another
    // target's connection fall out of the window.
    connection.send_start = 1'000'000 * this->shape.id.value + 1;
    this->OnPayload(segment, connection);
  }
  this->Reply(segment.flow, {.syn = true, .ack = true},
              connection.send_start - 1, connection.receive_next);
}

void StandInTarget::OnEstablished(const Segment& segment,
                                  Connection& connection) {
  this->OnAcknowledgement(segment.acknowledgement, connection);
  if (connection.closing && connection.unacknowledged.empty() &&
      segment.acknowledgement == connection.send_start + 1) {
    this->connections.erase(segment.flow);
    return;
  }
  this->OnPayload(segment, connection);
  const bool in_order =
      segment.sequence + static_cast<std::uint32_t>(segment.payload.size()) ==
      connection.receive_next;
  if (segment.flags.fin && in_order) {
    ++connection.receive_next;
    connection.closing = true;
  }
  if (connection.closing) {
    this->Reply(segment.flow, {.ack = true, .fin = true}, connection.send_start,
                connection.receive_next);
  } else if (!segment.payload.empty()) {
    this->Reply(segment.flow, {.ack = true}, connection.send_start,
                connection.receive_next);
  }
}

void StandInTarget::OnAcknowledgement(std::uint32_t number,
                                      Connection& connection) {
  while (!connection.unacknowledged.empty()) {
    const auto size =
        static_cast<std::uint32_t>(connection.unacknowledged.front().size());
    if (Before(number, connection.send_start + size)) {
      return;
    }
    connection.send_start += size;
    connection.unacknowledged.pop_front();
    connection.retries = 0;
  }
}

void StandInTarget::OnPayload(const Segment& segment, Connection& connection) {
  const std::uint32_t first = segment.sequence + (segment.flags.syn ? 1U : 0U);
  if (segment.payload.empty() || first != connection.receive_next) {
    return;
  }
  const auto request = DecodeRequest(segment.payload);
  if (!request) {
    this->judge.Malformed();
    return;
  }
  if (request->service != this->shape.service) {
    this->judge.Misrouted(segment.flow, this->shape.id);
    return;
  }
  connection.receive_next += static_cast<std::uint32_t>(segment.payload.size());
  this->queue.push_back(Job{segment.flow, *request, this->scheduler.Now()});
  this->StartJobs();
}

void StandInTarget::StartJobs() {
  while (this->busy < this->shape.slots && !this->queue.empty()) {
    const Job job = this->queue.front();
    this->queue.pop_front();
    if (!this->connections.contains(job.flow)) {
      continue;  // Cancelled: the caller reset the flow.
    }
    ++this->busy;
    this->judge.RequestRan(job.flow, job.request,
                           this->scheduler.Now() - job.queued_at);
    this->scheduler.After(this->ServiceTime(), [this, job, life = this->life] {
      this->FinishJob(job, life);
    });
  }
}

void StandInTarget::FinishJob(const Job& job, std::uint64_t life) {
  if (life != this->life) {
    return;
  }
  --this->busy;
  if (const auto found = this->connections.find(job.flow);
      found != this->connections.end()) {
    Connection& connection = found->second;
    const bool idle = connection.unacknowledged.empty();
    for (std::uint32_t i = 0; i < this->shape.answer_parts; ++i) {
      connection.unacknowledged.push_back(
          Encode(AnswerPart{job.request.service, job.request.flow,
                            job.request.attempt, i, this->shape.answer_parts}));
    }
    this->SendUnacknowledged(job.flow, connection);
    if (idle) {
      this->ArmTimer(job.flow, connection);
    }
  }
  this->StartJobs();
}

void StandInTarget::SendUnacknowledged(const common::FlowKey& flow,
                                       const Connection& connection) {
  std::uint32_t sequence = connection.send_start;
  for (const auto& payload : connection.unacknowledged) {
    this->Reply(flow, {.ack = true}, sequence, connection.receive_next,
                payload);
    sequence += static_cast<std::uint32_t>(payload.size());
  }
}

void StandInTarget::ArmTimer(const common::FlowKey& flow,
                             Connection& connection) {
  connection.timer = this->next_timer++;
  this->scheduler.After(
      kFirstRetry * (1U << connection.retries),
      [this, flow, timer = connection.timer] { this->OnTimer(flow, timer); });
}

void StandInTarget::OnTimer(const common::FlowKey& flow, std::uint64_t timer) {
  const auto found = this->connections.find(flow);
  if (found == this->connections.end() || found->second.timer != timer ||
      found->second.unacknowledged.empty()) {
    return;
  }
  Connection& connection = found->second;
  if (++connection.retries > kMostRetries) {
    this->connections.erase(found);
    return;
  }
  this->SendUnacknowledged(flow, connection);
  this->ArmTimer(flow, connection);
}

void StandInTarget::Fail() {
  this->judge.TargetFailed(this->shape.id);
  this->connections.clear();
  this->forgotten.clear();
  this->queue.clear();
  this->busy = 0;
  ++this->life;
  this->down = true;
}

void StandInTarget::Restart() {
  this->down = false;
  this->started_at = this->scheduler.Now();
}

void StandInTarget::GoSilent() {
  this->judge.TargetFailed(this->shape.id);
  for (const auto& [flow, connection] : this->connections) {
    this->forgotten.insert(flow);
  }
  this->connections.clear();
}

std::string StandInTarget::Health() const {
  if (this->down || this->report == HealthReport::kSilent) {
    return "";
  }
  const bool shedding = this->queue.size() >= this->shape.shed_at;
  std::string health = shedding ? "shedding" : "healthy";
  std::size_t open = this->connections.size();
  double load = std::min(
      1.0, static_cast<double>(this->busy) / std::max(1U, this->shape.slots));
  if (this->report == HealthReport::kAlwaysHealthy) {
    health = "healthy";
    open = 0;
    load = 0;
  } else if (this->report == HealthReport::kAlwaysFailing) {
    health = "failing";
  }
  return nlohmann::json{{"health", health}, {"open", open}, {"load", load}}
      .dump();
}

void StandInTarget::Reply(const common::FlowKey& flow, core::TcpFlags flags,
                          std::uint32_t sequence, std::uint32_t acknowledgement,
                          std::vector<std::uint8_t> payload) {
  this->sink.Send(Segment{Heading::kToCaller, flow, flags, sequence,
                          acknowledgement, std::move(payload)});
}

std::chrono::microseconds StandInTarget::ServiceTime() const {
  const auto age = this->scheduler.Now() - this->started_at;
  if (age >= this->shape.cold_time) {
    return this->shape.service_time;
  }
  const double left =
      1.0 - static_cast<double>(age.count()) /
                static_cast<double>(this->shape.cold_time.count());
  const double factor = 1.0 + (this->shape.cold_factor - 1.0) * left;
  return std::chrono::microseconds{static_cast<std::int64_t>(
      factor * static_cast<double>(this->shape.service_time.count()))};
}

}  // namespace sassafrasdyke::rig

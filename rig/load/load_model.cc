#include "rig/load/load_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <tuple>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::rig {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::microseconds;
using std::chrono::milliseconds;

/// When a client sends the copies of a SYN.
constexpr std::array<Time, 3> kCopies{0ms, 200ms, 600ms};
constexpr Time kTryEnds = 1400ms;
constexpr unsigned kTries = 3;
/// When a client repeats a request that no target has; the pauses double.
constexpr Time kRepeat = 200ms;
constexpr unsigned kRepeats = 4;
constexpr Time kTick = 100ms;
/// How late an instance learns of a change.
constexpr Time kLearntWithin = 300ms;
/// How long the entry of a target that died stays published.
constexpr Time kEntryLapses = 3600ms;
/// How long a target stays cold after an evacuation.
constexpr milliseconds kWarmUp{2000};
/// A client's own time between an answer and its next try.
constexpr Time kTriesAgainAfter = 1ms;
/// Seed salts: arrivals and work must not depend on what a policy does.
constexpr std::uint64_t kArrivalSalt = 0x61727276;
constexpr std::uint64_t kChanceSalt = 0x6368616E;

constexpr std::uint32_t kRouteAddress = 0xC6120001;   // 198.18.0.1
constexpr std::uint32_t kCallerAddress = 0x64400000;  // 100.64.0.0
constexpr std::uint32_t kTargetAddress = 0x0A000000;  // 10.0.0.0
constexpr std::uint16_t kRoutePort = 443;
constexpr double kLateWorth = 0.3;

std::string DomainName(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

std::uint32_t WordOfTarget(std::size_t target) {
  return static_cast<std::uint32_t>(target) + 1;
}

common::Endpoint RouteEndpoint() {
  return {common::IpAddress::FromV4(kRouteAddress), kRoutePort};
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

double WorthOf(const LoadCell& cell) {
  return cell.asked == 0 ? 1.0
                         : (cell.in_time + kLateWorth * cell.late) / cell.asked;
}

LoadModel::LoadModel(const LoadScenario& scenario, PolicyVariant variant)
    : scenario(scenario),
      variant(variant),
      arrivals(common::HashNumbers(scenario.seed, 0, kArrivalSalt)),
      chances(common::HashNumbers(scenario.seed, 0, kChanceSalt)) {
  for (std::size_t d = 0; d < scenario.domains.size(); ++d) {
    for (std::size_t i = 0; i < scenario.domains[d].instances; ++i) {
      this->instances.push_back({d, nullptr});
    }
    for (std::size_t i = 0; i < scenario.domains[d].targets; ++i) {
      this->targets.emplace_back().domain = d;
    }
  }
}

LoadOutcome LoadModel::Play() {
  core::PublishedConfiguration configuration{1, {}};
  core::PublishedRoute route{RouteEndpoint(), {{"service", 1}}};
  route.objective = this->scenario.service.objective;
  configuration.routes.push_back(std::move(route));
  if (this->scenario.event.warmup_rate > 0) {
    configuration.services.push_back(
        {"service", this->scenario.event.warmup_rate});
  }
  this->Tell("configuration", this->publication.Add(std::move(configuration)),
             0ms);
  const std::vector<std::size_t> affected = this->Affected();
  const bool joins = this->scenario.event.trouble == LoadTrouble::kJoin;
  for (std::size_t target = 0; target < this->targets.size(); ++target) {
    if (!joins || std::ranges::find(affected, target) == affected.end()) {
      this->Publish(target, false, 0ms);
    }
  }
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    this->StartInstance(i);
    this->ScheduleTicks(i);
  }
  for (std::size_t d = 0; d < this->scenario.domains.size(); ++d) {
    this->ScheduleArrivals(d);
  }
  this->ScheduleTrouble();
  const Time end = this->scenario.length + this->scenario.service.deadline;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  return this->outcome;
}

void LoadModel::After(Time wait, std::function<void()> run) {
  this->events.push({this->now + wait, ++this->last_order, std::move(run)});
}

milliseconds LoadModel::Now() const {
  return std::chrono::floor<milliseconds>(this->now);
}

double LoadModel::Uniform() {
  constexpr std::uint64_t kSteps = 1U << 30U;
  return (static_cast<double>(this->arrivals.Below(kSteps)) + 0.5) / kSteps;
}

void LoadModel::Publish(std::size_t target, bool draining, Time learnt_within,
                        milliseconds warmup_left) {
  core::PublishedTarget entry;
  entry.number = {WordOfTarget(target)};
  entry.service = "service";
  entry.domain = DomainName(this->targets[target].domain);
  entry.address = {
      common::IpAddress::FromV4(kTargetAddress + WordOfTarget(target)), 80};
  entry.slots = this->scenario.service.slots;
  entry.draining = draining;
  entry.warmup_left = warmup_left;
  this->Tell("target/" + std::to_string(target),
             this->publication.Add(std::move(entry)), learnt_within);
}

void LoadModel::Remove(std::size_t target) {
  this->Tell("target/" + std::to_string(target), std::nullopt, kLearntWithin);
}

void LoadModel::Tell(const std::string& key,
                     const std::optional<std::string>& value,
                     Time learnt_within) {
  this->published.emplace_back(key, value);
  const common::Revision at{++this->revision};
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    if (this->instances[i].balancer == nullptr) {
      continue;  // It takes all when it starts.
    }
    const Time wait(static_cast<Time::rep>(this->chances.Below(
        static_cast<std::uint64_t>(learnt_within.count()) + 1)));
    this->After(wait, [this, i, key, value, at] {
      if (this->instances[i].balancer != nullptr) {
        core::ChangeBatch batch;
        batch.at = at;
        batch.changes.push_back({key, at, value});
        this->instances[i].balancer->OnItems(std::move(batch), this->Now());
      }
    });
  }
}

void LoadModel::StartInstance(std::size_t instance) {
  Instance& started = this->instances[instance];
  started.balancer = MakeBalancer(this->variant, DomainName(started.domain),
                                  this->publication);
  core::ChangeBatch batch;
  for (std::size_t i = 0; i < this->published.size(); ++i) {
    const auto& [key, value] = this->published[i];
    batch.changes.push_back({key, {i + 1}, value});
  }
  batch.at = {this->revision};
  started.balancer->OnItems(std::move(batch), this->Now());
}

std::vector<std::size_t> LoadModel::Affected() const {
  std::vector<std::size_t> affected;
  const auto count = static_cast<std::size_t>(std::ceil(
      this->scenario.event.share * static_cast<double>(this->targets.size())));
  // Spread over the list, and so over the domains; one target is always left.
  const std::size_t most =
      std::min(count, this->targets.empty() ? 0 : this->targets.size() - 1);
  for (std::size_t i = 0; i < most; ++i) {
    affected.push_back(i * this->targets.size() / most);
  }
  return affected;
}

void LoadModel::ScheduleTrouble() {
  const LoadEvent& event = this->scenario.event;
  if (event.trouble == LoadTrouble::kOutage) {
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      this->After(event.at, [this, i] { this->instances[i].balancer.reset(); });
      // Machines don't start at the same moment.
      const Time start(static_cast<Time::rep>(this->chances.Below(300'000)));
      this->After(event.at + event.lasts + start,
                  [this, i] { this->StartInstance(i); });
    }
    return;
  }
  if (event.trouble == LoadTrouble::kEvacuate) {
    this->ScheduleEvacuation();
    return;
  }
  for (const std::size_t target : this->Affected()) {
    this->After(event.at, [this, target, trouble = event.trouble] {
      switch (trouble) {
        case LoadTrouble::kJoin:
          this->Publish(target, false, kLearntWithin);
          return;
        case LoadTrouble::kLeave:
          this->Publish(target, true, kLearntWithin);
          return;
        case LoadTrouble::kSlow:
          this->targets[target].slow = true;
          return;
        case LoadTrouble::kDie:
          this->targets[target].dead = true;
          this->After(kEntryLapses, [this, target] { this->Remove(target); });
          return;
        case LoadTrouble::kNone:
        case LoadTrouble::kOutage:
        case LoadTrouble::kEvacuate:
        case LoadTrouble::kCut:
          return;
      }
    });
    if (event.trouble == LoadTrouble::kSlow) {
      this->After(event.at + event.lasts,
                  [this, target] { this->targets[target].slow = false; });
    }
  }
}

void LoadModel::ScheduleEvacuation() {
  const LoadEvent& event = this->scenario.event;
  const std::string key = "evacuation/" + DomainName(0);
  this->After(event.at, [this, key] {
    this->Tell(key,
               this->publication.Add(core::PublishedEvacuation{DomainName(0)}),
               kLearntWithin);
    this->After(kLearntWithin + this->scenario.domain_delay,
                [this] { this->evacuated = true; });
  });
  this->After(event.at + event.lasts, [this, key] {
    this->evacuated = false;
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
      Target& cold = this->targets[target];
      if (cold.domain != 0) {
        continue;
      }
      cold.slow = cold.cold = true;
      this->Publish(target, false, 0ms, kWarmUp);
      this->After(kWarmUp, [&cold] { cold.slow = cold.cold = false; });
    }
    // Whoever learns that the domain is back knows that its targets are cold.
    this->After(kLearntWithin,
                [this, key] { this->Tell(key, std::nullopt, kLearntWithin); });
  });
}

void LoadModel::CountOpening(std::size_t target) {
  Target& at = this->targets[target];
  this->outcome.at_evacuated += this->evacuated && at.domain == 0 ? 1 : 0;
  if (!at.cold) {
    return;
  }
  at.opened.push_back(this->now);
  while (this->now - at.opened.front() > 1s) {
    at.opened.pop_front();
  }
  this->outcome.most_at_cold =
      std::max(this->outcome.most_at_cold, static_cast<int>(at.opened.size()));
}

bool LoadModel::IsCut(std::size_t one, std::size_t other) const {
  const LoadEvent& event = this->scenario.event;
  return event.trouble == LoadTrouble::kCut && (one == 0) != (other == 0) &&
         this->now >= event.at && this->now < event.at + event.lasts;
}

void LoadModel::ScheduleArrivals(std::size_t domain) {
  const double rate = this->scenario.domains[domain].requests_per_s;
  if (rate <= 0) {
    return;
  }
  double at_s = 0;
  while (true) {
    at_s += -std::log(this->Uniform()) / rate;
    const Time at(static_cast<Time::rep>(at_s * 1e6));
    if (at >= this->scenario.length) {
      return;
    }
    const double normal = std::sqrt(-2 * std::log(this->Uniform())) *
                          std::cos(2 * std::numbers::pi * this->Uniform());
    const double sigma = this->scenario.service.work_spread;
    const double work_ms = this->scenario.service.work_ms *
                           std::exp(sigma * normal - sigma * sigma / 2);
    const Time work(static_cast<Time::rep>(work_ms * 1e3));
    this->requests.push_back({domain, at, work, 0, 0, 0, false, false});
    const RequestId id = this->requests.size() - 1;
    this->After(at, [this, id] {
      ++this->CellOf(this->requests[id]).asked;
      this->After(this->scenario.service.deadline,
                  [this, id] { this->Finish(id, false); });
      this->StartTry(id);
    });
  }
}

void LoadModel::ScheduleTicks(std::size_t instance) {
  this->After(kTick, [this, instance] {
    if (this->instances[instance].balancer != nullptr) {
      this->Forward(instance,
                    this->instances[instance].balancer->OnTick(this->Now()));
    }
    this->ScheduleTicks(instance);
  });
}

core::FlowPacket LoadModel::PacketOf(RequestId id, std::uint16_t port) const {
  core::FlowPacket packet;
  packet.flow = {{common::IpAddress::FromV4(kCallerAddress +
                                            static_cast<std::uint32_t>(id)),
                  port},
                 RouteEndpoint()};
  return packet;
}

// A router hashes over the instances that are up; the flows of one that ends
// move, others stay.
std::optional<std::size_t> LoadModel::InstanceFor(
    const core::FlowPacket& packet, std::size_t domain) const {
  const std::uint64_t flow = common::FingerprintOf(packet.flow, 0).value;
  std::optional<std::size_t> best;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Instance& instance = this->instances[i];
    const std::uint64_t score = common::HashNumbers(flow, i, 0);
    if (instance.domain == domain && instance.balancer != nullptr &&
        (!best || score > best_score)) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

LoadModel::Time LoadModel::DelayTo(std::size_t instance,
                                   std::size_t target) const {
  const bool near =
      this->instances[instance].domain == this->targets[target].domain;
  return near ? Time(100) : Time(this->scenario.domain_delay);
}

LoadCell& LoadModel::CellOf(const Request& request) {
  const auto second = static_cast<std::size_t>(request.asked_at / 1s);
  while (this->outcome.cells.size() <= second) {
    this->outcome.cells.emplace_back(this->scenario.domains.size());
  }
  return this->outcome.cells[second][request.domain];
}

void LoadModel::StartTry(RequestId id) {
  Request& request = this->requests[id];
  ++request.tries;
  ++request.port;
  request.word = 0;
  request.at_target = false;
  const std::uint16_t port = request.port;
  for (std::uint32_t copy = 0; copy < kCopies.size(); ++copy) {
    this->After(kCopies.at(copy),
                [this, id, port, copy] { this->SendSyn(id, port, copy); });
  }
  this->After(kTryEnds, [this, id, port] {
    if (this->requests[id].word == 0) {
      this->FailTry(id, port);
    }
  });
}

void LoadModel::SendSyn(RequestId id, std::uint16_t port, std::uint32_t copy) {
  const Request& request = this->requests[id];
  if (request.done || request.port != port || request.word != 0) {
    return;
  }
  core::FlowPacket syn = this->PacketOf(id, port);
  syn.flags.syn = true;
  syn.repeats = copy;
  this->SendPacket(id, syn);
}

void LoadModel::SendData(RequestId id, std::uint16_t port, std::uint32_t word,
                         unsigned repeats) {
  const Request& request = this->requests[id];
  if (request.done || request.port != port || request.at_target) {
    return;
  }
  core::FlowPacket data = this->PacketOf(id, port);
  data.flags.ack = true;
  data.word = {word};
  data.payload_bytes = 100;
  this->SendPacket(id, data);
  if (repeats < kRepeats) {
    this->After(kRepeat * (1U << repeats), [this, id, port, word, repeats] {
      this->SendData(id, port, word, repeats + 1);
    });
  }
}

void LoadModel::SendEnd(RequestId id, std::uint16_t port, std::uint32_t word) {
  core::FlowPacket ack = this->PacketOf(id, port);
  ack.flags.ack = true;
  ack.word = {word};
  ack.sequence = 100;
  ack.acknowledgement = 1000;
  this->SendPacket(id, ack);
  ack.flags.fin = true;
  this->SendPacket(id, ack);
}

void LoadModel::SendPacket(RequestId id, const core::FlowPacket& packet) {
  const std::size_t domain = this->requests[id].domain;
  this->After(this->scenario.client_delay, [this, packet, domain] {
    if (const auto instance = this->InstanceFor(packet, domain)) {
      this->Forward(*instance, this->instances[*instance].balancer->OnPacket(
                                   packet, this->Now()));
    }
  });
}

void LoadModel::Forward(std::size_t instance,
                        const std::vector<Forwarded>& packets) {
  for (const Forwarded& out : packets) {
    const auto id = static_cast<RequestId>(out.packet.flow.caller.address.V4() -
                                           kCallerAddress);
    const std::uint16_t port = out.packet.flow.caller.port;
    if (out.word == 0) {
      this->After(this->scenario.client_delay,
                  [this, id, port] { this->FailTry(id, port); });
      continue;
    }
    const std::size_t target = out.word - 1;
    if (this->IsCut(this->instances[instance].domain,
                    this->targets[target].domain)) {
      continue;
    }
    const Time delay = this->DelayTo(instance, target);
    if (out.packet.flags.syn) {
      this->After(delay, [this, id, port, target] {
        this->OnSynAtTarget(id, port, target);
      });
    } else if (out.packet.payload_bytes > 0) {
      this->After(delay, [this, id, port, target] {
        this->OnDataAtTarget(id, port, target);
      });
    }
  }
}

void LoadModel::OnSynAtTarget(RequestId id, std::uint16_t port,
                              std::size_t target) {
  if (this->targets[target].dead ||
      this->IsCut(this->targets[target].domain, this->requests[id].domain)) {
    return;
  }
  this->CountOpening(target);
  this->After(this->scenario.client_delay, [this, id, port, target] {
    Request& request = this->requests[id];
    if (request.done || request.port != port || request.word != 0) {
      return;
    }
    request.word = WordOfTarget(target);
    this->SendData(id, port, request.word, 0);
  });
}

void LoadModel::OnDataAtTarget(RequestId id, std::uint16_t port,
                               std::size_t target) {
  Request& request = this->requests[id];
  Target& at = this->targets[target];
  if (at.dead || request.port != port || request.at_target) {
    return;
  }
  request.at_target = true;
  if (at.in_work < this->scenario.service.slots) {
    this->Work(target, id, port);
  } else if (at.waiting.size() < this->scenario.service.queue) {
    at.waiting.emplace_back(
        [this, target, id, port] { this->Work(target, id, port); });
  } else {
    ++this->outcome.turned_away;
    this->After(this->scenario.client_delay, [this, id, port, target] {
      this->SendEnd(id, port, WordOfTarget(target));
      this->FailTry(id, port);
    });
  }
}

void LoadModel::Work(std::size_t target, RequestId id, std::uint16_t port) {
  Target& at = this->targets[target];
  ++at.in_work;
  const double factor = at.slow ? this->scenario.event.factor : 1.0;
  const Time work(static_cast<Time::rep>(
      static_cast<double>(this->requests[id].work.count()) * factor));
  this->After(work, [this, target, id, port] {
    Target& done = this->targets[target];
    --done.in_work;
    if (!done.waiting.empty()) {
      const std::function<void()> next = std::move(done.waiting.front());
      done.waiting.pop_front();
      next();
    }
    if (!done.dead && !this->IsCut(done.domain, this->requests[id].domain)) {
      this->After(this->scenario.client_delay, [this, id, port, target] {
        this->OnAnswer(id, port, WordOfTarget(target));
      });
    }
  });
}

void LoadModel::OnAnswer(RequestId id, std::uint16_t port, std::uint32_t word) {
  this->SendEnd(id, port, word);
  if (this->requests[id].port == port) {
    this->Finish(id, true);
  }
}

void LoadModel::FailTry(RequestId id, std::uint16_t port) {
  const Request& request = this->requests[id];
  if (request.done || request.port != port) {
    return;
  }
  if (request.tries >= kTries) {
    this->Finish(id, false);
    return;
  }
  this->After(kTriesAgainAfter, [this, id, port] {
    const Request& again = this->requests[id];
    if (!again.done && again.port == port) {
      this->StartTry(id);
    }
  });
}

void LoadModel::Finish(RequestId id, bool served) {
  Request& request = this->requests[id];
  if (request.done) {
    return;
  }
  request.done = true;
  LoadCell& cell = this->CellOf(request);
  if (!served) {
    ++cell.failed;
    return;
  }
  const bool in_time =
      this->now - request.asked_at <= this->scenario.service.objective;
  (in_time ? cell.in_time : cell.late) += 1;
}

}  // namespace sassafrasdyke::rig

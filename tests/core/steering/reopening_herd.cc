#include "core/steering/reopening_herd.h"

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

/// When instances are back, so that the outage lies after the process's start.
constexpr Time kBack = 5s;
constexpr Time kObjective = 150ms;
constexpr Time kDeadline = 2000ms;
constexpr Time kRoundTrip = 2ms;
constexpr Time kCopies[] = {0ms, 200ms, 600ms};
constexpr Time kTryEnds = 1400ms;
constexpr unsigned kTries = 3;
constexpr std::uint32_t kFirstCaller = 0x64400007;
/// The first target's number, less one; it is also the word of its flows.
constexpr std::uint32_t kFirstWord = 0xA0;
constexpr std::uint32_t kOtherServiceFrom = 0x800;

const EqualTargetWeights kWeights;
const OwnDomainLocality kLocality;

void Publish(SteeringScene& scene, const std::string& service,
             std::uint32_t number, std::size_t host) {
  char id[16];
  std::snprintf(id, sizeof(id), "%x", number);
  const std::string net = service == "diary" ? "10.0.0." : "10.0.1.";
  scene.Publish(id, service + " north " + net + std::to_string(host) + ":80",
                0ms);
}

}  // namespace

ReopeningHerd::ReopeningHerd(const HerdPlan& plan)
    : plan(plan),
      shared{this->load, kWeights, kLocality, {}, plan.fair_admission},
      instances(plan.instances),
      random(plan.seed),
      outcomes(plan.demands.size()) {
  std::uint64_t seed = 0;
  for (Instance& instance : this->instances) {
    this->Start(instance, seed++);
  }
}

void ReopeningHerd::Start(Instance& instance, std::uint64_t seed) {
  instance.scene = std::make_unique<SteeringScene>("north", WarmupTolerance{},
                                                   seed, this->shared);
  SteeringScene& scene = *instance.scene;
  instance.admission = std::make_unique<AdmissionControl>(
      scene.view.Routes(), scene.steering, this->shared, *this->plan.overload);
  scene.Configure(
      "1 198.18.0.1:443=diary 198.18.0.2:443=diary#1 198.18.0.3:443=ledger#2",
      0ms);
  for (std::uint32_t i = 1; i <= this->plan.targets; ++i) {
    Publish(scene, "diary", kFirstWord + i, i);
    Publish(scene, "ledger", kOtherServiceFrom + i, i);
  }
}

HerdOutcome ReopeningHerd::Play() {
  const Time last = kBack - this->plan.outage + this->plan.length;
  for (Time now = kBack; now < last + kDeadline; now += 1ms) {
    this->load.instances =
        now - kBack < this->plan.alone_until ? 1 : this->plan.instances;
    this->Want(now);
    for (const std::size_t id : this->undone) {
      this->SendSyn(id, now);
    }
    for (auto& [word, target] : this->targets) {
      this->Work(target, now);
    }
    this->GiveUp(now);
    for (Instance& instance : this->instances) {
      if (now.count() % 100 == 0) {
        instance.scene->steering.OnTick(now);
        instance.admission->OnTick(now);
      }
      this->TakeRefused(instance, now);
      this->ReleaseHeld(instance, now);
    }
    std::erase_if(this->undone,
                  [this](std::size_t id) { return this->callers[id].done; });
  }
  HerdOutcome total;
  total.shed = this->uncounted.shed;
  for (const HerdOutcome& outcome : this->outcomes) {
    total += outcome;
  }
  return total;
}

// At the first step all those of the outage.
void ReopeningHerd::Want(Time now) {
  const Time began = kBack - this->plan.outage;
  for (Time at = now == kBack ? began : now; at <= now; at += 1ms) {
    for (std::size_t i = 0; i < this->plan.demands.size(); ++i) {
      const HerdDemand& demand = this->plan.demands[i];
      const Time since = at - began - demand.from;
      if (since < 0ms || at - began >= demand.until ||
          at - began >= this->plan.length ||
          since % demand.wants_every != 0ms) {
        continue;
      }
      const auto round = static_cast<std::uint32_t>(since / demand.wants_every);
      for (std::uint32_t n = 0; n < demand.at_once; ++n) {
        const auto host = static_cast<std::uint32_t>(i << 16) +
                          (round * demand.at_once + n) % demand.callers;
        Caller caller;
        caller.demand = i;
        caller.address = common::IpAddress::FromV4(kFirstCaller + host);
        caller.wants_since = at;
        this->callers.push_back(caller);
        this->undone.push_back(this->callers.size() - 1);
        this->StartTry(this->callers.size() - 1, at);
      }
    }
  }
}

ReopeningHerd::Instance& ReopeningHerd::InstanceOf(std::size_t id) {
  const std::uint64_t hash = common::HashNumbers(this->callers[id].port, 0, 0);
  return this->instances[hash % this->instances.size()];
}

FlowPacket ReopeningHerd::PacketOf(const Caller& caller) const {
  FlowPacket packet = SteeringScene::Packet(caller.port);
  packet.flow.caller.address = caller.address;
  packet.flow.service.address =
      common::IpAddress::FromV4(packet.flow.service.address.V4() +
                                this->plan.demands[caller.demand].route);
  return packet;
}

void ReopeningHerd::StartTry(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  ++caller.tries;
  caller.syn_sent = now;
  caller.copies = 0;
  caller.word = 0;
  caller.port = ++this->last_port;
  this->by_port[caller.port] = id;
}

void ReopeningHerd::SendSyn(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  if (caller.done || caller.word != 0 || caller.copies >= 3 ||
      now < caller.syn_sent + kCopies[caller.copies]) {
    return;
  }
  FlowPacket syn = this->PacketOf(caller);
  syn.flags.syn = true;
  syn.repeats = caller.copies;
  ++caller.copies;
  if (now > caller.syn_sent + kCopies[caller.copies - 1]) {
    return;  // It was sent while the instance was down.
  }
  Instance& instance = this->InstanceOf(id);
  SteeringScene& scene = *instance.scene;
  if (!this->plan.holds_back) {
    this->Open(id, scene.WordOf(scene.steering.OnPacket(syn, now)), now);
  } else if (const auto grant = instance.admission->Admit(syn, {}, now, now)) {
    this->Open(id, scene.WordOf(scene.steering.OnPacket(syn, now, *grant)),
               now);
  }
}

void ReopeningHerd::ReleaseHeld(Instance& instance, Time now) {
  while (const auto released = instance.admission->TakeNext(now)) {
    const std::size_t id = this->by_port.at(released->syn.flow.caller.port);
    FlowPacket syn;
    syn.flow = released->syn.flow;
    syn.flags.syn = true;
    const auto action =
        instance.scene->steering.OnPacket(syn, now, released->grant);
    this->Open(id, instance.scene->WordOf(action), now);
  }
}

void ReopeningHerd::TakeRefused(Instance& instance, Time now) {
  for (const QueuedSyn& syn : instance.admission->TakeRefused()) {
    const std::size_t id = this->by_port.at(syn.flow.caller.port);
    ++this->OutcomeOf(this->callers[id]).refused;
    this->FailTry(id, now);
  }
}

void ReopeningHerd::Open(std::size_t id, std::uint32_t word, Time now) {
  Caller& caller = this->callers[id];
  if (word == 0 || caller.word != 0 || caller.done) {
    return;
  }
  caller.word = word;
  FlowPacket data = this->PacketOf(caller);
  data.flags.ack = true;
  data.word = {word};
  data.payload_bytes = 100;
  this->InstanceOf(id).scene->steering.OnPacket(data, now + kRoundTrip);
  if (!this->targets[word].Offer(id)) {
    ++this->OutcomeOf(caller).shed;
    this->FailTry(id, now);
  }
}

void ReopeningHerd::Work(ModelledTarget& target, Time now) {
  const auto work_time = [this] { return this->WorkTime(); };
  for (const std::size_t id : target.Work(now, work_time)) {
    this->Answer(id, now);
  }
}

Time ReopeningHerd::WorkTime() {
  return 12ms + Time(static_cast<Time::rep>(this->random.Below(20)));
}

void ReopeningHerd::Answer(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  FlowPacket ack = this->PacketOf(caller);
  ack.flags.ack = true;
  ack.word = {caller.word};
  ack.acknowledgement = 1000;
  this->InstanceOf(id).scene->steering.OnPacket(ack, now + kRoundTrip);
  if (caller.done) {
    return;  // The caller has given up; the target's work is wasted.
  }
  caller.done = true;
  const Time took = now + kRoundTrip - caller.wants_since;
  (took <= kObjective ? this->OutcomeOf(caller).in_time
                      : this->OutcomeOf(caller).late) += 1;
}

void ReopeningHerd::GiveUp(Time now) {
  for (const std::size_t id : this->undone) {
    Caller& caller = this->callers[id];
    if (!caller.done && now - caller.wants_since >= kDeadline) {
      caller.done = true;
      ++this->OutcomeOf(caller).failed;
    } else if (!caller.done && caller.word == 0 &&
               now - caller.syn_sent >= kTryEnds) {
      this->FailTry(id, now);
    }
  }
}

void ReopeningHerd::FailTry(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  if (caller.tries < kTries) {
    this->StartTry(id, now + 1ms);
    return;
  }
  caller.done = true;
  ++this->OutcomeOf(caller).failed;
}

HerdOutcome& ReopeningHerd::OutcomeOf(const Caller& caller) {
  return caller.wants_since >= kBack ? this->outcomes[caller.demand]
                                     : this->uncounted;
}

}  // namespace sassafrasdyke::core

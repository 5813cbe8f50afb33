#include "core/steering/reopening_herd.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

constexpr Time kOutage = 1200ms;
constexpr Time kAfter = 1500ms;
constexpr Time kWantsEvery = 5ms;
constexpr Time kObjective = 150ms;
constexpr Time kDeadline = 2000ms;
constexpr Time kRoundTrip = 2ms;
constexpr Time kCopies[] = {0ms, 200ms, 600ms};
constexpr Time kTryEnds = 1400ms;
constexpr unsigned kTries = 3;
constexpr std::size_t kTargets = 3;

}  // namespace

ReopeningHerd::ReopeningHerd(bool holds_back)
    : holds_back(holds_back),
      admission(this->scene.view.Routes(), this->scene.steering),
      random(7) {
  this->scene.Configure("1 198.18.0.1:443=diary", 0ms);
  for (std::size_t i = 1; i <= kTargets; ++i) {
    const std::string id = "a" + std::to_string(i);
    this->scene.Publish(id, "diary north 10.0.0." + std::to_string(i) + ":80",
                        0ms);
  }
}

HerdOutcome ReopeningHerd::Play() {
  const Time from = 5s;  // So that the outage lies after the process's start.
  Time wants = from - kOutage;
  for (Time now = from; now < from + kAfter + kDeadline; now += 1ms) {
    for (; wants <= now && wants < from + kAfter; wants += kWantsEvery) {
      this->callers.push_back({wants, wants, 0, 0, 0, 0, false});
      this->StartTry(this->callers.size() - 1, wants);
    }
    for (std::size_t id = 0; id < this->callers.size(); ++id) {
      this->SendSyn(id, now);
    }
    for (auto& [word, target] : this->targets) {
      this->Work(target, now);
    }
    this->GiveUp(now);
    if (now.count() % 100 == 0) {
      this->scene.steering.OnTick(now);
      this->admission.OnTick(now);
    }
    this->ReleaseHeld(now);
  }
  return this->outcome;
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
  const FlowPacket syn = SteeringScene::Syn(caller.port, caller.copies);
  ++caller.copies;
  if (now > caller.syn_sent + kCopies[caller.copies - 1]) {
    return;  // It was sent while the instance was down.
  }
  if (!this->holds_back) {
    this->Open(id, this->scene.WordOf(this->scene.steering.OnPacket(syn, now)),
               now);
  } else if (const auto grant = this->admission.Admit(syn, {}, now, now)) {
    this->Open(
        id, this->scene.WordOf(this->scene.steering.OnPacket(syn, now, *grant)),
        now);
  }
}

void ReopeningHerd::ReleaseHeld(Time now) {
  while (const auto released = this->admission.TakeNext(now)) {
    const std::uint16_t port = released->syn.flow.caller.port;
    const FlowPacket syn = SteeringScene::Syn(port);
    const auto action =
        this->scene.steering.OnPacket(syn, now, released->grant);
    this->Open(this->by_port.at(port), this->scene.WordOf(action), now);
  }
}

void ReopeningHerd::Open(std::size_t id, std::uint32_t word, Time now) {
  Caller& caller = this->callers[id];
  if (word == 0 || caller.word != 0 || caller.done) {
    return;
  }
  caller.word = word;
  this->scene.steering.OnPacket(SteeringScene::Data(caller.port, word),
                                now + kRoundTrip);
  if (!this->targets[word].Offer(id)) {
    ++this->outcome.shed;
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
  FlowPacket ack = SteeringScene::Ack(caller.port, caller.word);
  ack.acknowledgement = 1000;
  this->scene.steering.OnPacket(ack, now + kRoundTrip);
  if (caller.done) {
    return;  // The caller has given up; the target's work is wasted.
  }
  caller.done = true;
  const Time took = now + kRoundTrip - caller.wants_since;
  if (caller.wants_since >= 5s) {
    (took <= kObjective ? this->outcome.in_time : this->outcome.late) += 1;
  }
}

void ReopeningHerd::GiveUp(Time now) {
  for (std::size_t id = 0; id < this->callers.size(); ++id) {
    Caller& caller = this->callers[id];
    if (!caller.done && now - caller.wants_since >= kDeadline) {
      caller.done = true;
      this->outcome.failed += caller.wants_since >= 5s ? 1 : 0;
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
  this->outcome.failed += caller.wants_since >= 5s ? 1 : 0;
}

}  // namespace sassafrasdyke::core

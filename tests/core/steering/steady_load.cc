#include "core/steering/steady_load.h"

#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

constexpr Time kObjective = 150ms;
constexpr Time kRoundTrip = 2ms;
constexpr Time kLastAnswers = 3000ms;
/// The first target's number, which is also the word of its flows.
constexpr std::uint32_t kFirstWord = 0xA0;

constexpr Time kJoinsEvery = 200ms;
constexpr Time kRestartsEvery = 300ms;

std::uint32_t WordOfTarget(std::size_t number) {
  return kFirstWord + static_cast<std::uint32_t>(number);
}

void PublishTo(SteeringScene& scene, std::size_t number,
               const std::string& state, Time now) {
  char name[16];
  std::snprintf(name, sizeof(name), "%x", WordOfTarget(number));
  const std::string address = "10.0.0." + std::to_string(number + 1) + ":80";
  scene.Publish(name, TargetText("diary", "north", address) + state, now);
}

}  // namespace

SteadyLoad::SteadyLoad(const LoadPlan& plan)
    : plan(plan), targets(plan.targets) {
  this->instances.resize(plan.instances);
  const std::size_t later = plan.joins_at ? plan.joining : 0;
  for (std::size_t i = 0; i < plan.instances; ++i) {
    this->StartInstance(i, 0ms);
  }
  for (std::size_t number = 0; number + later < plan.targets; ++number) {
    this->PublishTarget(number, "", 0ms);
  }
  this->outcome.placed_after_join.resize(plan.targets);
}

void SteadyLoad::StartInstance(std::size_t instance, Time now) {
  this->instances[instance] = std::make_unique<SteeringScene>();
  this->instances[instance]->Configure("1 198.18.0.1:443=diary", now);
  for (const auto& [number, state] : this->published) {
    PublishTo(*this->instances[instance], number, state, now);
  }
}

void SteadyLoad::PublishTarget(std::size_t number, const std::string& state,
                               Time now) {
  this->published[number] = state;
  for (const auto& instance : this->instances) {
    PublishTo(*instance, number, state, now);
  }
}

void SteadyLoad::ApplyPlan(Time now) {
  if (!this->plan.joins_at || now < *this->plan.joins_at) {
    return;
  }
  const Time since = now - *this->plan.joins_at;
  const auto joined = static_cast<std::size_t>(since / kJoinsEvery);
  if (since % kJoinsEvery == 0ms && joined < this->plan.joining) {
    this->PublishTarget(this->plan.targets - this->plan.joining + joined, "",
                        now);
    if (this->plan.others_leave) {
      this->PublishTarget(joined, " draining", now);
    }
  }
  const auto restarted = static_cast<std::size_t>(since / kRestartsEvery);
  if (this->plan.instances_restart && since % kRestartsEvery == 0ms &&
      restarted < this->plan.instances) {
    this->StartInstance(restarted, now);
  }
}

LoadOutcome SteadyLoad::Play() {
  for (Time now = 0ms; now < this->plan.length + kLastAnswers; now += 1ms) {
    this->ApplyPlan(now);
    if (now < this->plan.length && now % this->plan.wants_every == 0ms) {
      ++this->outcome.asked;
      this->callers.push_back({now, 0, 0, 0, 0});
      this->Open(this->callers.size() - 1, now);
    }
    for (std::size_t number = 0; number < this->targets.size(); ++number) {
      this->Work(number, now);
    }
    if (now % 100ms == 0ms) {
      for (const auto& instance : this->instances) {
        instance->steering.OnTick(now);
      }
    }
  }
  return this->outcome;
}

void SteadyLoad::Open(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  ++caller.tries;
  caller.port = ++this->last_port;
  caller.instance = this->random.Below(this->instances.size());
  SteeringScene& scene = *this->instances[caller.instance];
  caller.word = scene.WordOf(
      scene.steering.OnPacket(SteeringScene::Syn(caller.port), now));
  scene.steering.OnPacket(SteeringScene::Data(caller.port, caller.word),
                          now + kRoundTrip);
  const std::size_t number = caller.word - kFirstWord;
  if (this->plan.joins_at && now >= *this->plan.joins_at &&
      now < *this->plan.joins_at + 500ms) {
    ++this->outcome.placed_after_join[number];
  }
  if (this->targets.at(number).Offer(id)) {
    return;
  }
  ++this->outcome.shed;
  FlowPacket fin = SteeringScene::Ack(caller.port, caller.word);
  fin.flags.fin = true;
  scene.steering.OnPacket(fin, now + kRoundTrip);
  if (caller.tries == 1) {
    this->Open(id, now);
  }
}

void SteadyLoad::Work(std::size_t number, Time now) {
  const auto work_time = [&] { return this->WorkTime(number, now); };
  for (const std::size_t id : this->targets[number].Work(now, work_time)) {
    this->Answer(id, now);
  }
}

Time SteadyLoad::WorkTime(std::size_t number, Time now) {
  const bool slow = number == 0 && now >= this->plan.slow_from &&
                    now < this->plan.slow_from + this->plan.slow_for;
  const Time usual =
      15ms + Time(static_cast<Time::rep>(this->random.Below(30)));
  return usual * (slow ? this->plan.slow_factor : 1);
}

void SteadyLoad::Answer(std::size_t id, Time now) {
  const Caller& caller = this->callers[id];
  SteeringScene& scene = *this->instances[caller.instance];
  FlowPacket ack = SteeringScene::Ack(caller.port, caller.word);
  ack.acknowledgement = 1000;
  scene.steering.OnPacket(ack, now + kRoundTrip);
  ack.flags.fin = true;
  scene.steering.OnPacket(ack, now + kRoundTrip);
  const bool in_time = now + kRoundTrip - caller.wants_since <= kObjective;
  (in_time ? this->outcome.in_time : this->outcome.late) += 1;
}

}  // namespace sassafrasdyke::core

#include "core/health/domain_play.h"

#include <algorithm>
#include <cstdio>

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::milliseconds;

constexpr std::size_t kInstances = 27;
constexpr std::size_t kTargets = 40;
constexpr std::size_t kReaders = 2;
constexpr std::uint32_t kFirstWord = 0xA0;
constexpr Time kRoundTrip = 2ms;
constexpr Time kTroubleFrom = 3000ms;
constexpr Time kObjective = 300ms;
constexpr Time kDeadline = 4000ms;
constexpr Time kRepeatsAfter = 200ms;
/// A client that gets no answer resets the flow and retries on another.
constexpr Time kGivesUpAfter = 1400ms;
constexpr unsigned kMaxTries = 3;
constexpr Time kFlapping = 1000ms;
constexpr std::uint64_t kHangingPercent = 40;
constexpr std::int64_t kSlowFactor = 10;
constexpr Time kCountedPart = 250ms;
constexpr Time kAvoidedFor = 3000ms;

}  // namespace

/// One instance with its detector.
struct DomainPlay::Node {
  Node(std::size_t number, std::uint64_t seed, bool detects)
      : view(publication, 60s),
        own(this->view.Targets()),
        detector("north", this->view.Targets(), this->load, this->own, 0.34,
                 seed),
        shared{NoSharedObservations().load,
               detects ? static_cast<const TargetWeights&>(this->detector)
                       : NoSharedObservations().weights,
               NoSharedObservations().locality,
               {&this->own}},
        steering("north",
                 {this->view.Routes(), this->view.Targets(),
                  this->view.Contact(), this->view.Regions()},
                 {}, seed, this->shared) {
    this->load.instances = kInstances;
    this->address = {common::IpAddress::FromV4(0x0A020000),
                     static_cast<std::uint16_t>(number)};
  }
  void Change(const std::string& key, const std::string& value, Time now) {
    ++this->revision;
    this->view.Contact().OnAnswer(now);
    this->view.OnChanges({{{key, {this->revision}, value}}, {this->revision}},
                         now);
  }

  std::uint64_t revision{0};
  SamplePublication publication;
  LiveView view;
  FixedFleetLoad load;
  TargetObservations own;
  OutlierDetector detector;
  SharedObservations shared;
  FlowSteering steering;
  common::Endpoint address;
  Time started_at{0};
  Time next_digest{0};
  std::multimap<Time, std::pair<TargetIndex, Time>> probes;  ///< By their end.
};

DomainPlay::~DomainPlay() = default;

DomainPlay::DomainPlay(const DomainPlan& plan)
    : plan(plan), random(plan.seed), targets(kTargets) {
  this->nodes.resize(kInstances);
  for (std::size_t i = 0; i < kInstances; ++i) {
    this->StartNode(i, 0ms);
  }
}

void DomainPlay::StartNode(std::size_t number, Time now) {
  auto node =
      std::make_unique<Node>(number, this->random.Next(), this->plan.detects);
  node->Change("configuration", "1 198.18.0.1:443=diary", now);
  for (std::size_t i = 0; i < kTargets; ++i) {
    char name[32];
    std::snprintf(name, sizeof(name), "target/%zx", kFirstWord + i);
    node->Change(
        name,
        TargetText("diary", "north", "10.0.0." + std::to_string(i + 1) + ":80"),
        now);
  }
  node->started_at = now;
  node->next_digest = now + this->random.UpTo(1000ms);
  this->nodes[number] = std::move(node);
}

bool DomainPlay::Troubled(std::size_t target, Time now) const {
  return target < this->plan.troubled && now >= kTroubleFrom;
}

bool DomainPlay::Hangs(std::size_t target, Time now) {
  if (!this->Troubled(target, now)) {
    return false;
  }
  const bool bad_second = now / kFlapping % 2 == 1;
  switch (this->plan.trouble) {
    case TargetTrouble::kFailing:
      return this->random.Below(100) < kHangingPercent;
    case TargetTrouble::kFlapping:
      return bad_second;
    case TargetTrouble::kSilent:
      return true;
    case TargetTrouble::kNone:
    case TargetTrouble::kSlow:
      break;
  }
  return false;
}

DomainOutcome DomainPlay::Play() {
  for (Time now = 0ms; now < this->plan.length + kDeadline; now += 1ms) {
    if (this->plan.restarts_at == now) {
      this->StartNode(kInstances - 1, now);
      // It queries the seeds, which answer at once.
      this->Deliver(0, kInstances - 1, now);
      this->Deliver(1, kInstances - 1, now);
    }
    if (now < this->plan.length && now % this->plan.wants_every == 0ms) {
      ++this->outcome.asked;
      this->callers.emplace_back().wants_since = now;
      this->Open(this->callers.size() - 1, now);
    }
    while (!this->events.empty() && this->events.begin()->first <= now) {
      const Event event = this->events.begin()->second;
      this->events.erase(this->events.begin());
      this->OnEvent(event, now);
    }
    this->Work(now);
    this->Tick(now);
  }
  for (const Caller& caller : this->callers) {
    this->outcome.failed += caller.done ? 0 : 1;
  }
  this->outcome.avoided_after = this->AvoidedAfter();
  const auto [troubled, all] = this->placed_by_restarted;
  this->outcome.share_after_restart =
      troubled * static_cast<double>(kTargets) /
      static_cast<double>(std::max<std::size_t>(this->plan.troubled, 1)) /
      std::max(all, 1);
  return this->outcome;
}

void DomainPlay::Open(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  ++caller.tries;
  caller.port = static_cast<std::uint16_t>(1024 + this->random.Below(60'000));
  caller.node = this->random.Below(kInstances);
  caller.target.reset();
  this->Send(id, now);
}

/// Sends the SYN, or its copy; where the target's host answers it, the request
/// follows.
void DomainPlay::Send(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  Node& node = *this->nodes[caller.node];
  const bool is_copy = caller.target.has_value();
  const SteeringAction action = node.steering.OnPacket(
      SteeringScene::Syn(caller.port, is_copy ? 1 : 0), now);
  const auto* const sent = std::get_if<SendToTarget>(&action);
  if (sent == nullptr) {
    return;
  }
  const std::uint32_t word = node.view.Targets().At(sent->target).word.value;
  const std::size_t target = word - kFirstWord;
  caller.target = target;
  caller.sent_at = now;
  if (!is_copy) {
    this->CountPlaced(caller.node, target, now);
  }
  caller.hangs = this->Hangs(target, now);
  this->events.emplace(now + kRepeatsAfter,
                       Event{Event::Kind::kFirstRepeat, id});
  if (!is_copy) {
    this->events.emplace(now + kGivesUpAfter, Event{Event::Kind::kGivesUp, id});
  }
  const bool silent = this->Troubled(target, now) &&
                      this->plan.trouble == TargetTrouble::kSilent;
  if (silent) {
    return;
  }
  node.steering.OnPacket(SteeringScene::Data(caller.port, word),
                         now + kRoundTrip);
  if (!caller.hangs && !this->targets[target].Offer(id)) {
    FlowPacket fin = SteeringScene::Ack(caller.port, word);
    fin.flags.fin = true;
    node.steering.OnPacket(fin, now + kRoundTrip);
    if (caller.tries < kMaxTries) {
      this->Open(id, now + kRoundTrip);
    }
  }
}

void DomainPlay::OnEvent(const Event& event, Time now) {
  Caller& caller = this->callers[event.caller];
  if (caller.done || !caller.hangs || !caller.target) {
    return;
  }
  Node& node = *this->nodes[caller.node];
  const std::uint32_t word =
      kFirstWord + static_cast<std::uint32_t>(*caller.target);
  const bool silent = this->plan.trouble == TargetTrouble::kSilent;
  if (event.kind == Event::Kind::kFirstRepeat) {
    if (now - caller.sent_at < kRepeatsAfter) {
      return;  // Of an earlier flow.
    }
    if (silent) {
      this->Send(event.caller, now);
    } else {
      node.steering.OnPacket(SteeringScene::Data(caller.port, word), now);
    }
    return;
  }
  if (now - caller.sent_at < kGivesUpAfter) {
    return;
  }
  FlowPacket reset = SteeringScene::Ack(caller.port, word);
  reset.flags.rst = true;
  node.steering.OnPacket(reset, now);
  if (caller.tries < kMaxTries) {
    this->Open(event.caller, now);
  }
}

void DomainPlay::Work(Time now) {
  for (std::size_t number = 0; number < kTargets; ++number) {
    const auto work_time = [&] {
      const Time usual =
          this->plan.usual / 2 + this->random.UpTo(this->plan.usual);
      const bool slow = this->Troubled(number, now) &&
                        this->plan.trouble == TargetTrouble::kSlow;
      return usual * (slow ? kSlowFactor : 1);
    };
    for (const std::size_t id : this->targets[number].Work(now, work_time)) {
      this->Answer(id, now);
    }
  }
}

void DomainPlay::Answer(std::size_t id, Time now) {
  Caller& caller = this->callers[id];
  if (caller.done) {
    return;
  }
  const std::uint32_t word =
      kFirstWord + static_cast<std::uint32_t>(*caller.target);
  Node& node = *this->nodes[caller.node];
  FlowPacket ack = SteeringScene::Ack(caller.port, word);
  ack.acknowledgement = 1000;
  node.steering.OnPacket(ack, now + kRoundTrip);
  ack.flags.fin = true;
  node.steering.OnPacket(ack, now + kRoundTrip);
  const Time took = now + kRoundTrip - caller.wants_since;
  caller.done = took <= kDeadline;
  this->outcome.late += caller.done && took > kObjective ? 1 : 0;
}

void DomainPlay::Tick(Time now) {
  if (now % 100ms != 0ms) {
    return;
  }
  std::size_t most = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    Node& node = *this->nodes[i];
    node.steering.OnTick(now);
    node.detector.OnTick(node.steering.Watch(), now);
    this->Probe(i, now);
    if (this->plan.shares) {
      this->Exchange(i, now);
    }
    std::size_t below = 0;
    const bool as_a_whole = this->plan.troubled == kTargets;
    for (std::size_t target = as_a_whole ? 0 : this->plan.troubled;
         target < kTargets; ++target) {
      const auto index = node.view.Targets().IndexOf(
          {kFirstWord + static_cast<std::uint32_t>(target)});
      below += node.detector.WeightOf(*index) < 1 ? 1 : 0;
    }
    most = std::max(most, below);
  }
  this->outcome.wrong_outliers = std::max(this->outcome.wrong_outliers, most);
}

/// Each second a digest goes to a member of the domain, half of the time to a
/// reader, and one to any instance of three domains.
void DomainPlay::Exchange(std::size_t from, Time now) {
  Node& node = *this->nodes[from];
  std::vector<std::size_t> receivers;
  if (now >= node.next_digest) {
    node.next_digest = now + 1000ms;
    receivers.push_back(
        this->draws.Below(this->draws.Below(2) == 0 ? kReaders : kInstances));
    const std::size_t any = this->draws.Below(3 * kInstances);
    if (any < kInstances) {
      receivers.push_back(any);
    }
  }
  if (const auto audience = node.detector.TakeUrgent()) {
    const std::size_t all =
        *audience == UrgentReceivers::kReaders ? kReaders : kInstances;
    for (std::size_t to = 0; to < all; ++to) {
      receivers.push_back(to);
    }
  }
  for (const std::size_t to : receivers) {
    if (to != from) {
      this->Deliver(from, to, now);
    }
  }
}

void DomainPlay::Deliver(std::size_t from, std::size_t to, Time now) {
  PeerObservations observations;
  observations.sent_at = now;
  observations.own = LoadReport{};
  this->nodes[from]->detector.Append(observations, now);
  this->nodes[to]->detector.OnObservations(this->nodes[from]->address, "north",
                                           observations, now);
}

void DomainPlay::Probe(std::size_t number, Time now) {
  constexpr Time kProbeTimeout = 200ms;
  Node& node = *this->nodes[number];
  for (auto ended = node.probes.begin();
       ended != node.probes.end() && ended->first <= now;
       ended = node.probes.erase(ended)) {
    const auto [index, started] = ended->second;
    const std::size_t target =
        node.view.Targets().At(index).word.value - kFirstWord;
    const bool silent = this->Troubled(target, started) &&
                        this->plan.trouble == TargetTrouble::kSilent;
    node.steering.Watch().OnProbed(
        index, silent ? ProbeOutcome::kSilent : ProbeOutcome::kAnswered,
        started, now);
  }
  for (const TargetIndex index : node.steering.Watch().TakeProbes(now)) {
    ++this->outcome.probes;
    node.probes.emplace(now + kProbeTimeout, std::pair(index, now));
  }
}

void DomainPlay::CountPlaced(std::size_t node, std::size_t target, Time now) {
  this->outcome.placements =
      common::HashNumbers(this->outcome.placements, target, node);
  const bool troubled = target < this->plan.troubled;
  const auto add = [&](std::pair<int, int>& counts) {
    counts.first += troubled ? 1 : 0;
    ++counts.second;
  };
  if (now >= kTroubleFrom && now < this->plan.length) {
    add(this->placed[(now - kTroubleFrom) / kCountedPart * kCountedPart]);
  }
  const Time started_at = this->nodes[node]->started_at;
  if (started_at > 0ms && now < started_at + 2000ms) {
    add(this->placed_by_restarted);
  }
}

std::optional<Time> DomainPlay::AvoidedAfter() const {
  const double most =
      this->plan.trouble == TargetTrouble::kFlapping ? 0.5 : 0.25;
  const double share =
      static_cast<double>(this->plan.troubled) / static_cast<double>(kTargets);
  const auto avoided = [&](Time from) {
    int troubled = 0;
    int all = 0;
    for (auto part = this->placed.lower_bound(from);
         part != this->placed.lower_bound(from + 1000ms); ++part) {
      troubled += part->second.first;
      all += part->second.second;
    }
    return all > 0 && troubled <= most * share * all;
  };
  for (Time at = 0ms; at + kAvoidedFor <= this->plan.length - kTroubleFrom;
       at += kCountedPart) {
    if (avoided(at) && avoided(at + 1000ms) && avoided(at + 2000ms)) {
      return at;
    }
  }
  return std::nullopt;
}

}  // namespace sassafrasdyke::core

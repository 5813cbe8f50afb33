#include "core/fleet/fleet_network.h"

#include <algorithm>

#include "core/fleet/message_size.h"

namespace sassafrasdyke::core {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
constexpr milliseconds kPlatformDelay{3};
constexpr milliseconds kWatchTimeout{2000};
constexpr milliseconds kRefusalDelay{100};
constexpr milliseconds kSettleTime{6000};
constexpr std::uint64_t kPercent = 100;

}  // namespace

std::uint64_t DroppedOf(const RunningFleet& fleet) {
  std::uint64_t dropped = fleet.dropped_before;
  for (const BudgetStatus& budget : fleet.fleet->Status().budgets) {
    dropped += budget.dropped;
  }
  return dropped;
}

bool FleetNetwork::Later::operator()(const Event& left,
                                     const Event& right) const {
  return left.at != right.at ? left.at > right.at : left.order > right.order;
}

FleetNetwork::FleetNetwork(std::uint64_t seed, LinkShape shape)
    : reader(std::make_unique<SampleReader>()),
      seed(seed),
      random(seed),
      shape(shape) {}

void FleetNetwork::Start(const SampleInstance& identity) {
  RunningFleet fleet;
  fleet.identity = identity;
  fleet.run = ++this->runs;
  fleet.started = this->now;
  fleet.fleet =
      MakeFleet({{identity.id}, {identity.domain}, {identity.incarnation}},
                *this->reader, this->seed * kPercent + fleet.run);
  const std::uint64_t run = fleet.run;
  if (const auto before = this->fleets.find(identity.id);
      before != this->fleets.end()) {
    fleet.bytes_sent = before->second.bytes_sent;
    fleet.messages_sent = before->second.messages_sent;
    fleet.cpu = before->second.cpu;
    fleet.dropped_before = DroppedOf(before->second);
  }
  this->fleets.insert_or_assign(identity.id, std::move(fleet));
  this->Push({.at = this->now + this->random.UpTo(kTick),
              .to = identity.id,
              .run = run,
              .message = nullptr});
}

void FleetNetwork::StartAll(const std::vector<SampleInstance>& instances,
                            std::uint32_t targets) {
  this->Publish(InstancesOf(1, instances));
  this->Publish(ConfigurationOf(1, targets));
  for (const SampleInstance& instance : instances) {
    this->Start(instance);
  }
  this->RunFor(kSettleTime);
}

void FleetNetwork::Kill(std::uint32_t id) {
  this->fleets.at(id).running = false;
}

void FleetNetwork::Resume(std::uint32_t id) {
  this->fleets.at(id).paused = false;
  for (Event& event : this->waiting[id]) {
    event.at = this->now;
    this->Push(std::move(event));
  }
  this->waiting.erase(id);
}

void FleetNetwork::CutOneWay(std::uint32_t from, std::uint32_t to) {
  this->cuts.emplace(from, to);
}

void FleetNetwork::Cut(std::uint32_t left, std::uint32_t right) {
  this->CutOneWay(left, right);
  this->CutOneWay(right, left);
}

void FleetNetwork::CutDomains(std::uint32_t left, std::uint32_t right) {
  this->domain_cuts.emplace(left, right);
  this->domain_cuts.emplace(right, left);
}

void FleetNetwork::Heal() {
  this->cuts.clear();
  this->domain_cuts.clear();
}

void FleetNetwork::Publish(const Document& document) {
  this->published[document.kind] = document;
  this->WakeWatchers();
}

void FleetNetwork::RunFor(milliseconds time) {
  const milliseconds end = this->now + time;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    this->Handle(event);
  }
  this->now = end;
}

void FleetNetwork::Inject(std::uint32_t from, std::uint32_t to,
                          const PeerMessage& message) {
  this->Push({.at = this->now,
              .kind = EventKind::kMessage,
              .to = to,
              .from = from,
              .run = this->fleets.at(to).run,
              .message = std::make_shared<const PeerMessage>(message)});
}

void FleetNetwork::Call(std::uint32_t id, const FleetCall& call) {
  RunningFleet& fleet = this->fleets.at(id);
  FleetOutbox outbox;
  call(*fleet.fleet, this->now - fleet.started, outbox);
  this->Collect(fleet, outbox);
}

InstanceUse FleetNetwork::UseOf(std::uint32_t observer,
                                std::uint32_t about) const {
  for (const InstanceView& view : this->fleets.at(observer).view->instances) {
    if (view.id.value == about) {
      return view.use;
    }
  }
  return InstanceUse::kSuspected;
}

bool FleetNetwork::AllSee(std::uint32_t about, InstanceUse use) const {
  return std::all_of(
      this->fleets.begin(), this->fleets.end(), [&](const auto& item) {
        return !item.second.running || this->UseOf(item.first, about) == use;
      });
}

bool FleetNetwork::InForceEverywhere(std::uint64_t revision) const {
  return std::all_of(
      this->fleets.begin(), this->fleets.end(), [&](const auto& item) {
        return !item.second.running ||
               (item.second.configuration != nullptr &&
                item.second.configuration->revision.value == revision);
      });
}

void FleetNetwork::Push(Event event) {
  event.order = ++this->next_order;
  this->events.push(std::move(event));
}

void FleetNetwork::Handle(const Event& event) {
  RunningFleet& fleet = this->fleets.at(event.to);
  if (!fleet.running || fleet.run != event.run) {
    return;
  }
  if (fleet.paused) {
    this->waiting[event.to].push_back(event);
    return;
  }
  FleetOutbox outbox;
  const auto before =
      this->clock == nullptr ? std::chrono::nanoseconds{0} : this->clock();
  this->Deliver(fleet, event, outbox);
  if (this->clock != nullptr) {
    fleet.cpu += this->clock() - before;
  }
  this->Collect(fleet, outbox);
  if (!fleet.watch_open && fleet.fleet->WatchesPlatform()) {
    this->OpenWatch(fleet);
  }
}

void FleetNetwork::Deliver(RunningFleet& fleet, const Event& event,
                           FleetOutbox& outbox) {
  const milliseconds since_start = this->now - fleet.started;
  switch (event.kind) {
    case EventKind::kTick:
      fleet.fleet->OnTick(since_start, outbox);
      this->Push({.at = this->now + kTick,
                  .to = event.to,
                  .run = fleet.run,
                  .message = nullptr});
      break;
    case EventKind::kMessage:
      fleet.fleet->OnPeerMessage({event.from}, *event.message, since_start,
                                 outbox);
      break;
    case EventKind::kPlatformAnswer:
      this->AnswerWatch(fleet, event, outbox);
      break;
  }
}

void FleetNetwork::Collect(RunningFleet& fleet, FleetOutbox& outbox) {
  for (const OutgoingMessage& message : outbox.messages) {
    this->SendOne(fleet, message);
  }
  fleet.decisions.insert(fleet.decisions.end(), outbox.decisions.begin(),
                         outbox.decisions.end());
  fleet.health.insert(fleet.health.end(), outbox.health.begin(),
                      outbox.health.end());
  if (outbox.configuration != nullptr) {
    fleet.configuration = outbox.configuration;
    fleet.in_force.push_back({outbox.configuration->revision.value, this->now});
  }
  if (outbox.view) {
    fleet.view = std::move(outbox.view);
  }
}

void FleetNetwork::SendOne(RunningFleet& fleet,
                           const OutgoingMessage& message) {
  fleet.bytes_sent += this->sizer == nullptr ? EstimatedBytes(message.message)
                                             : this->sizer(message.message);
  ++fleet.messages_sent;
  const auto to = this->fleets.find(message.to.value);
  if (to == this->fleets.end() || this->Lost(fleet, to->second)) {
    return;
  }
  const bool inside = to->second.identity.domain == fleet.identity.domain;
  const milliseconds delay =
      inside ? this->shape.delay_inside : this->shape.delay_between;
  Event event{.at = this->now + delay,
              .kind = EventKind::kMessage,
              .to = message.to.value,
              .from = fleet.identity.id,
              .run = to->second.run,
              .message = std::make_shared<const PeerMessage>(message.message)};
  if (this->random.Below(kPercent) < this->shape.repeat_percent) {
    Event again = event;
    again.at += delay;
    this->Push(std::move(again));
  }
  this->Push(std::move(event));
}

bool FleetNetwork::Lost(const RunningFleet& from, const RunningFleet& to) {
  const auto& [source, target] = std::pair(from.identity, to.identity);
  const bool inside = source.domain == target.domain;
  const unsigned loss = inside ? this->shape.loss_inside_percent
                               : this->shape.loss_between_percent;
  return this->cuts.contains({source.id, target.id}) ||
         this->domain_cuts.contains({source.domain, target.domain}) ||
         this->random.Below(kPercent) < loss;
}

void FleetNetwork::OpenWatch(RunningFleet& fleet) {
  // One read for each of the two documents.
  this->platform_reads += 2;
  fleet.watch_open = true;
  ++fleet.watch;
  const bool reached = this->platform_up && !fleet.platform_cut;
  const bool news = reached && this->HasNews(fleet);
  const milliseconds wait = news ? kPlatformDelay : kWatchTimeout;
  this->Push({.at = this->now + (reached ? wait : kRefusalDelay),
              .kind = EventKind::kPlatformAnswer,
              .to = fleet.identity.id,
              .run = fleet.run,
              .watch = fleet.watch,
              .message = nullptr,
              .reached = reached});
}

void FleetNetwork::AnswerWatch(RunningFleet& fleet, const Event& event,
                               FleetOutbox& outbox) {
  if (!fleet.watch_open || fleet.watch != event.watch) {
    return;  // Answered earlier, by a publication.
  }
  fleet.watch_open = false;
  const milliseconds since_start = this->now - fleet.started;
  const bool still = event.reached && this->platform_up && !fleet.platform_cut;
  if (still) {
    for (const auto& [kind, document] : this->published) {
      const FleetStatus status = fleet.fleet->Status();
      const DocumentDigest& have = kind == DocumentKind::kConfiguration
                                       ? status.configuration
                                       : status.instances;
      if (document.revision != have.revision) {
        fleet.fleet->OnPlatformDocument(document, since_start, outbox);
      }
    }
  }
  fleet.fleet->OnPlatformAnswer(still, since_start, outbox);
}

void FleetNetwork::WakeWatchers() {
  for (auto& [id, fleet] : this->fleets) {
    if (fleet.watch_open && this->HasNews(fleet)) {
      this->Push({.at = this->now + kPlatformDelay,
                  .kind = EventKind::kPlatformAnswer,
                  .to = id,
                  .run = fleet.run,
                  .watch = fleet.watch,
                  .message = nullptr});
    }
  }
}

bool FleetNetwork::HasNews(const RunningFleet& fleet) const {
  const FleetStatus status = fleet.fleet->Status();
  return std::any_of(
      this->published.begin(), this->published.end(), [&](const auto& item) {
        const DocumentDigest& have = item.first == DocumentKind::kConfiguration
                                         ? status.configuration
                                         : status.instances;
        return item.second.revision.value > have.revision.value;
      });
}

}  // namespace sassafrasdyke::core

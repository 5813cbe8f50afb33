#include "core/model/small_fleet.h"

#include <algorithm>
#include <utility>

#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::chrono::milliseconds kTick{100};
constexpr std::chrono::milliseconds kRecoveryDelay{300};
constexpr std::chrono::milliseconds kLeaveQuietTime{2000};
constexpr std::uint32_t kPercent = 100;
constexpr std::size_t kCopyBytes = 50;
constexpr std::size_t kAckBytes = 30;
constexpr std::size_t kAddedBytes = 14;
constexpr std::size_t kEndedBytes = 9;
constexpr std::size_t kMaxHops = 8;

bool Contains(const std::vector<common::DomainId>& domains,
              common::DomainId domain) {
  return std::find(domains.begin(), domains.end(), domain) != domains.end();
}

}  // namespace

std::size_t EncodedBytes(const PeerMessage& message) {
  if (const auto* const copy = std::get_if<ExceptionCopy>(&message)) {
    return kCopyBytes + copy->added.size() * kAddedBytes +
           copy->ended.size() * kEndedBytes;
  }
  return kAckBytes;
}

SmallFleet::SmallFleet(SmallFleetPlan plan)
    : plan(std::move(plan)),
      generator(this->plan.seed),
      published(this->plan.configuration) {
  for (std::uint32_t i = 0; i < this->plan.instances; ++i) {
    const common::InstanceId id{this->next_id++};
    this->Start(id, {i % this->plan.domains + 1}, {1});
  }
  for (auto& [id, member] : this->members) {
    this->ScheduleConfigurationUpdate(id, kTick);
    this->ScheduleViewUpdate(id, kTick);
  }
  this->Pass(2 * kTick);
}

std::uint64_t SmallFleet::Random(std::uint64_t below) {
  return this->generator() % below;
}

void SmallFleet::Start(common::InstanceId id, common::DomainId domain,
                       common::Incarnation incarnation) {
  FleetView sample = SampleView(id.value, id.value);
  Member member;
  member.actual = InstanceOf(sample, id.value);
  member.actual.domain = domain;
  member.actual.incarnation = incarnation;
  member.balancer = this->plan.factory(id, incarnation);
  this->stopped.erase(id);
  this->members[id] = std::move(member);
}

SmallFleet::Member* SmallFleet::Find(common::InstanceId id) {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

const SmallFleet::Member* SmallFleet::Find(common::InstanceId id) const {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

bool SmallFleet::IsRunning(const Member& member) const {
  return !member.paused;
}

std::vector<common::InstanceId> SmallFleet::Running() const {
  std::vector<common::InstanceId> running;
  for (const auto& [id, member] : this->members) {
    if (this->IsRunning(member)) {
      running.push_back(id);
    }
  }
  return running;
}

common::InstanceId SmallFleet::AnyRunning() {
  const std::vector<common::InstanceId> running = this->Running();
  return running.empty() ? common::InstanceId{}
                         : running[this->Random(running.size())];
}

bool SmallFleet::IsCut(common::DomainId domain) const {
  return Contains(this->separated, domain);
}

common::DomainId SmallFleet::DomainOf(common::InstanceId id) const {
  const Member* const member = this->Find(id);
  return member == nullptr ? common::DomainId{} : member->actual.domain;
}

BalancerStatus SmallFleet::StatusOf(common::InstanceId id) const {
  const Member* const member = this->Find(id);
  return member == nullptr ? BalancerStatus{} : member->balancer->Status();
}

bool SmallFleet::CanReach(common::DomainId from, common::DomainId to) const {
  return from == to || (!this->IsCut(from) && !this->IsCut(to));
}

FleetView SmallFleet::ViewFor(const Member& member) const {
  FleetView view;
  view.self = member.actual.id;
  view.domain = member.actual.domain;
  view.leaving = member.leaving;
  for (const auto& [id, other] : this->members) {
    view.instances.push_back(other.actual);
  }
  for (const auto& [id, instance_view] : this->stopped) {
    view.instances.push_back(instance_view);
  }
  std::sort(
      view.instances.begin(), view.instances.end(),
      [](const InstanceView& a, const InstanceView& b) { return a.id < b.id; });
  for (std::uint32_t domain = 1; domain <= this->plan.domains; ++domain) {
    const common::DomainId other{domain};
    const bool unreachable =
        other != view.domain && (Contains(this->known_separated, other) ||
                                 Contains(this->known_separated, view.domain));
    if (unreachable) {
      view.unreachable.push_back(other);
    }
  }
  for (InstanceView& instance : view.instances) {
    if (Contains(view.unreachable, instance.domain)) {
      instance.use = InstanceUse::kSuspected;
    }
  }
  return view;
}

std::chrono::milliseconds SmallFleet::RandomUpdateDelay() {
  return std::chrono::milliseconds{static_cast<std::int64_t>(this->Random(
      static_cast<std::uint64_t>(this->plan.update_delays.max_delay.count()) +
      1))};
}

void SmallFleet::ScheduleViewUpdate(common::InstanceId id,
                                    std::chrono::milliseconds after) {
  Update next;
  next.due = this->now + after;
  next.to = id;
  next.version = ++this->last_version;
  next.view = std::make_shared<FleetView>(this->ViewFor(*this->Find(id)));
  this->updates.push_back(std::move(next));
}

void SmallFleet::ScheduleViewUpdates(std::chrono::milliseconds after) {
  for (const auto& [id, member] : this->members) {
    this->ScheduleViewUpdate(id, after + this->RandomUpdateDelay());
  }
}

void SmallFleet::ScheduleConfigurationUpdate(common::InstanceId id,
                                             std::chrono::milliseconds after) {
  Update next;
  next.due = this->now + after;
  next.to = id;
  next.configuration = Accept(this->published);
  this->updates.push_back(std::move(next));
}

void SmallFleet::Publish(const std::function<void(Configuration&)>& change) {
  this->PublishToSome(change, kPercent);
}

void SmallFleet::PublishToSome(
    const std::function<void(Configuration&)>& change,
    std::uint32_t reached_percent) {
  ++this->published.revision.value;
  change(this->published);
  for (const auto& [id, member] : this->members) {
    if (this->Random(kPercent) < reached_percent &&
        !this->IsCut(member.actual.domain)) {
      this->ScheduleConfigurationUpdate(id, this->RandomUpdateDelay());
    }
  }
}

void SmallFleet::PublishToAll() {
  for (const auto& [id, member] : this->members) {
    if (!this->IsCut(member.actual.domain)) {
      this->ScheduleConfigurationUpdate(id, this->RandomUpdateDelay());
    }
  }
}

void SmallFleet::Report(common::TargetId target, TargetHealth health) {
  const TargetHealthChange change{target, health, ++this->last_version, {}};
  for (auto& [id, member] : this->members) {
    if (this->IsRunning(member)) {
      Outbox outbox;
      member.balancer->OnPeerMessage(id, change, this->now, outbox);
      this->ProcessOutbox(id, outbox);
    }
  }
}

common::InstanceId SmallFleet::Join(common::DomainId domain) {
  const common::InstanceId id{this->next_id++};
  this->Start(id, domain, {1});
  this->ScheduleConfigurationUpdate(id, kTick);
  this->ScheduleViewUpdate(id, kTick);
  this->ScheduleViewUpdates(kTick);
  return id;
}

void SmallFleet::Leave(common::InstanceId id) {
  Member* const member = this->Find(id);
  if (member == nullptr || member->leaving) {
    return;
  }
  member->leaving = true;
  member->leaving_since = this->now;
  member->actual.use = InstanceUse::kLeaving;
  this->ScheduleViewUpdates(kTick);
  this->ScheduleViewUpdate(id, kTick);
}

void SmallFleet::Kill(common::InstanceId id) {
  Member* const member = this->Find(id);
  if (member == nullptr) {
    return;
  }
  InstanceView instance_view = member->actual;
  this->members.erase(id);
  this->stopped[id] = instance_view;
  this->scheduled.emplace_back(this->now + this->plan.update_delays.suspicion,
                               [this, id] {
                                 if (const auto found = this->stopped.find(id);
                                     found != this->stopped.end()) {
                                   found->second.use = InstanceUse::kSuspected;
                                   this->ScheduleViewUpdates({});
                                 }
                               });
}

void SmallFleet::Replace(common::InstanceId id) {
  const Member* const member = this->Find(id);
  if (member == nullptr) {
    return;
  }
  const common::DomainId domain = member->actual.domain;
  this->members.erase(id);
  this->Start(id, domain, {++this->incarnations});
  this->ScheduleConfigurationUpdate(id, kTick);
  this->ScheduleViewUpdate(id, kTick);
  this->ScheduleViewUpdates(kTick);
}

void SmallFleet::Pause(common::InstanceId id, std::chrono::milliseconds time) {
  Member* const member = this->Find(id);
  if (member == nullptr || member->paused) {
    return;
  }
  member->paused = true;
  member->paused_until = this->now + time;
  if (time <= this->plan.update_delays.suspicion) {
    return;
  }
  this->scheduled.emplace_back(
      this->now + this->plan.update_delays.suspicion, [this, id] {
        if (Member* const sleeper = this->Find(id);
            sleeper != nullptr && sleeper->paused && !sleeper->leaving) {
          sleeper->actual.use = InstanceUse::kSuspected;
          this->ScheduleViewUpdates({});
        }
      });
}

void SmallFleet::Resume(Member& member) {
  member.paused = false;
  // Its view is outdated; it detects this by the jump of its clock.
  FleetView stale = member.view;
  stale.lease = Lease::kStale;
  member.view = stale;
  Outbox outbox;
  member.balancer->OnFleetView(stale, this->now, outbox);
  this->ProcessOutbox(member.actual.id, outbox);
  const bool was_suspected = member.actual.use == InstanceUse::kSuspected;
  if (was_suspected) {
    member.actual.use = InstanceUse::kOwner;
    this->ScheduleViewUpdates(kRecoveryDelay);
  }
  this->ScheduleViewUpdate(member.actual.id, kRecoveryDelay);
}

void SmallFleet::Cut(common::DomainId domain) {
  if (this->IsCut(domain)) {
    return;
  }
  this->separated.push_back(domain);
  this->scheduled.emplace_back(this->now + this->plan.update_delays.suspicion,
                               [this] {
                                 this->known_separated = this->separated;
                                 this->ScheduleViewUpdates({});
                               });
}

void SmallFleet::Heal(common::DomainId domain) {
  std::erase(this->separated, domain);
  this->scheduled.emplace_back(this->now + kRecoveryDelay, [this] {
    this->known_separated = this->separated;
    this->ScheduleViewUpdates({});
    this->PublishToAll();
  });
}

void SmallFleet::Pass(std::chrono::milliseconds time) {
  const std::chrono::milliseconds end = this->now + time;
  while (this->now < end) {
    this->now += kTick;
    for (std::size_t i = 0; i < this->scheduled.size();) {
      if (this->scheduled[i].first > this->now) {
        ++i;
        continue;
      }
      const auto action = this->scheduled[i].second;
      this->scheduled.erase(this->scheduled.begin() +
                            static_cast<std::ptrdiff_t>(i));
      action();
    }
    for (auto& [id, member] : this->members) {
      if (member.paused && this->now >= member.paused_until) {
        this->Resume(member);
      }
    }
    this->Deliver();
    for (auto& [id, member] : this->members) {
      if (this->IsRunning(member)) {
        Outbox outbox;
        member.balancer->OnTick(this->now, outbox);
        this->ProcessOutbox(id, outbox);
      }
    }
    this->StopLeavingInstances();
  }
}

void SmallFleet::Apply(const Update& update) {
  Member* const member = this->Find(update.to);
  if (member == nullptr) {
    return;
  }
  Outbox outbox;
  if (update.configuration != nullptr &&
      update.configuration->revision > member->revision) {
    member->revision = update.configuration->revision;
    member->in_force_since = this->now;
    member->balancer->OnConfiguration(update.configuration, this->now, outbox);
  }
  if (update.view != nullptr && update.version > member->view_version) {
    member->view_version = update.version;
    member->view = *update.view;
    member->balancer->OnFleetView(*update.view, this->now, outbox);
  }
  this->ProcessOutbox(update.to, outbox);
}

void SmallFleet::Deliver() {
  std::vector<Update> waiting;
  std::vector<Update> due;
  for (Update& next : this->updates) {
    const Member* const member = this->Find(next.to);
    const bool held = next.due > this->now ||
                      (member != nullptr && !this->IsRunning(*member));
    (held ? waiting : due).push_back(std::move(next));
  }
  this->updates = std::move(waiting);
  std::stable_sort(
      due.begin(), due.end(),
      [](const Update& a, const Update& b) { return a.due < b.due; });
  for (const Update& next : due) {
    this->Apply(next);
  }
  std::vector<MessageInFlight> still_in_flight;
  std::vector<MessageInFlight> arrived;
  for (MessageInFlight& message_in_flight : this->in_flight) {
    const Member* const member = this->Find(message_in_flight.to);
    const bool held = message_in_flight.due > this->now ||
                      (member != nullptr && !this->IsRunning(*member));
    (held ? still_in_flight : arrived).push_back(std::move(message_in_flight));
  }
  this->in_flight = std::move(still_in_flight);
  std::stable_sort(arrived.begin(), arrived.end(),
                   [](const MessageInFlight& a, const MessageInFlight& b) {
                     return a.due < b.due;
                   });
  for (const MessageInFlight& message_in_flight : arrived) {
    Member* const member = this->Find(message_in_flight.to);
    const common::DomainId from = this->DomainOf(message_in_flight.from);
    if (member == nullptr || !this->CanReach(from, member->actual.domain)) {
      continue;
    }
    Outbox outbox;
    member->balancer->OnPeerMessage(
        message_in_flight.from, message_in_flight.message, this->now, outbox);
    this->ProcessOutbox(message_in_flight.to, outbox);
  }
}

void SmallFleet::StopLeavingInstances() {
  std::vector<common::InstanceId> done;
  for (const auto& [id, member] : this->members) {
    if (member.leaving && this->IsRunning(member) &&
        this->now - member.leaving_since >=
            kLeaveQuietTime + this->plan.update_delays.max_delay &&
        member.balancer->Status().handed_over) {
      done.push_back(id);
    }
  }
  for (const common::InstanceId id : done) {
    this->members.erase(id);
    this->ScheduleViewUpdates({});
  }
}

void SmallFleet::ProcessOutbox(common::InstanceId from, Outbox& outbox) {
  for (const Decision& decision : outbox.decisions) {
    this->log.push_back({this->now, from, decision});
  }
  for (OutgoingMessage& next : outbox.messages) {
    const bool is_copy = std::holds_alternative<ExceptionCopy>(next.message) ||
                         std::holds_alternative<ExceptionCopyAck>(next.message);
    if (this->plan.without_copies && is_copy) {
      continue;
    }
    this->control_bytes += EncodedBytes(next.message);
    ++this->control_messages;
    const MessageFaults& faults = this->plan.faults;
    const auto spread = static_cast<std::uint64_t>(
        (faults.max_delay - faults.min_delay).count() + 1);
    const std::size_t times =
        this->Random(kPercent) < faults.repeated_percent ? 2 : 1;
    for (std::size_t i = 0; i < times; ++i) {
      if (this->Random(kPercent) < faults.lost_percent) {
        continue;
      }
      const std::chrono::milliseconds delay =
          faults.min_delay +
          std::chrono::milliseconds{static_cast<int>(this->Random(spread))};
      this->in_flight.push_back(
          {this->now + delay, from, next.to, next.message});
    }
  }
  outbox.messages.clear();
  outbox.decisions.clear();
}

PacketOutcome SmallFleet::Send(common::InstanceId entry, PacketArrived packet) {
  PacketOutcome outcome;
  common::InstanceId at = entry;
  for (std::size_t hop = 0; hop < kMaxHops; ++hop) {
    Member* const member = this->Find(at);
    if (member == nullptr || !this->IsRunning(*member)) {
      return outcome;
    }
    outcome.path.push_back(at);
    outcome.decided_by = at;
    outcome.revision = member->revision;
    outcome.in_force_since = member->in_force_since;
    Outbox outbox;
    const PacketAction action =
        member->balancer->OnPacket(packet, this->now, outbox);
    this->ProcessOutbox(at, outbox);
    if (const auto* const forward = std::get_if<ForwardToTarget>(&action)) {
      outcome.kind = PacketOutcome::Kind::kForwarded;
      outcome.target = forward->target;
      outcome.tunnel = forward->tunnel;
      return outcome;
    }
    if (const auto* const reset = std::get_if<ResetCaller>(&action)) {
      outcome.kind = PacketOutcome::Kind::kReset;
      outcome.reset = reset->reason;
      return outcome;
    }
    if (const auto* const drop = std::get_if<DropPacket>(&action)) {
      outcome.kind = PacketOutcome::Kind::kDropped;
      outcome.drop = drop->reason;
      return outcome;
    }
    const auto& redirect = std::get<RedirectToInstance>(action);
    if (!this->CanReach(member->actual.domain,
                        this->DomainOf(redirect.instance))) {
      return outcome;
    }
    packet = Handed(packet, redirect);
    at = redirect.instance;
  }
  return outcome;
}

}  // namespace sassafrasdyke::core::testing

#include "core/model/small_fleet.h"

#include <algorithm>
#include <utility>

#include "core/samples.h"

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::chrono::milliseconds kTick{100};
constexpr std::chrono::milliseconds kFreshWord{300};
constexpr std::chrono::milliseconds kQuiet{2000};
constexpr std::uint32_t kPercent = 100;
constexpr std::size_t kCopyBytes = 50;
constexpr std::size_t kAckBytes = 30;
constexpr std::size_t kAddedBytes = 14;
constexpr std::size_t kEndedBytes = 9;
constexpr std::size_t kMostHops = 8;

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
    this->TellConfigurationTo(id, kTick);
    this->TellViewTo(id, kTick);
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
  member.truth = InstanceOf(sample, id.value);
  member.truth.domain = domain;
  member.truth.incarnation = incarnation;
  member.balancer = this->plan.factory(id, incarnation);
  this->ghosts.erase(id);
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

bool SmallFleet::Runs(const Member& member) const { return !member.paused; }

std::vector<common::InstanceId> SmallFleet::Running() const {
  std::vector<common::InstanceId> running;
  for (const auto& [id, member] : this->members) {
    if (this->Runs(member)) {
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
  return Contains(this->cut, domain);
}

common::DomainId SmallFleet::DomainOf(common::InstanceId id) const {
  const Member* const member = this->Find(id);
  return member == nullptr ? common::DomainId{} : member->truth.domain;
}

BalancerStatus SmallFleet::StatusOf(common::InstanceId id) const {
  const Member* const member = this->Find(id);
  return member == nullptr ? BalancerStatus{} : member->balancer->Status();
}

bool SmallFleet::Reaches(common::DomainId from, common::DomainId to) const {
  return from == to || (!this->IsCut(from) && !this->IsCut(to));
}

FleetView SmallFleet::ViewFor(const Member& member) const {
  FleetView view;
  view.self = member.truth.id;
  view.domain = member.truth.domain;
  view.leaving = member.leaving;
  for (const auto& [id, other] : this->members) {
    view.instances.push_back(other.truth);
  }
  for (const auto& [id, ghost] : this->ghosts) {
    view.instances.push_back(ghost);
  }
  std::sort(
      view.instances.begin(), view.instances.end(),
      [](const InstanceView& a, const InstanceView& b) { return a.id < b.id; });
  for (std::uint32_t domain = 1; domain <= this->plan.domains; ++domain) {
    const common::DomainId other{domain};
    const bool apart =
        other != view.domain && (Contains(this->seen_cut, other) ||
                                 Contains(this->seen_cut, view.domain));
    if (apart) {
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

std::chrono::milliseconds SmallFleet::NewsDelay() {
  return std::chrono::milliseconds{static_cast<std::int64_t>(this->Random(
      static_cast<std::uint64_t>(this->plan.news.greatest.count()) + 1))};
}

void SmallFleet::TellViewTo(common::InstanceId id,
                            std::chrono::milliseconds after) {
  News next;
  next.due = this->now + after;
  next.to = id;
  next.version = ++this->versions;
  next.view = std::make_shared<FleetView>(this->ViewFor(*this->Find(id)));
  this->news.push_back(std::move(next));
}

void SmallFleet::TellView(std::chrono::milliseconds after) {
  for (const auto& [id, member] : this->members) {
    this->TellViewTo(id, after + this->NewsDelay());
  }
}

void SmallFleet::TellConfigurationTo(common::InstanceId id,
                                     std::chrono::milliseconds after) {
  News next;
  next.due = this->now + after;
  next.to = id;
  next.configuration = Accept(this->published);
  this->news.push_back(std::move(next));
}

void SmallFleet::Publish(const std::function<void(Configuration&)>& change) {
  this->PublishToSome(change, kPercent);
}

void SmallFleet::PublishToSome(
    const std::function<void(Configuration&)>& change,
    std::uint32_t told_percent) {
  ++this->published.revision.value;
  change(this->published);
  for (const auto& [id, member] : this->members) {
    if (this->Random(kPercent) < told_percent &&
        !this->IsCut(member.truth.domain)) {
      this->TellConfigurationTo(id, this->NewsDelay());
    }
  }
}

void SmallFleet::TellAll() {
  for (const auto& [id, member] : this->members) {
    if (!this->IsCut(member.truth.domain)) {
      this->TellConfigurationTo(id, this->NewsDelay());
    }
  }
}

void SmallFleet::Report(common::TargetId target, TargetHealth health) {
  const TargetHealthChange change{target, health, ++this->versions, {}};
  for (auto& [id, member] : this->members) {
    if (this->Runs(member)) {
      Outbox outbox;
      member.balancer->OnPeerMessage(id, change, this->now, outbox);
      this->Collect(id, outbox);
    }
  }
}

common::InstanceId SmallFleet::Join(common::DomainId domain) {
  const common::InstanceId id{this->next_id++};
  this->Start(id, domain, {1});
  this->TellConfigurationTo(id, kTick);
  this->TellViewTo(id, kTick);
  this->TellView(kTick);
  return id;
}

void SmallFleet::Leave(common::InstanceId id) {
  Member* const member = this->Find(id);
  if (member == nullptr || member->leaving) {
    return;
  }
  member->leaving = true;
  member->leaving_since = this->now;
  member->truth.use = InstanceUse::kLeaving;
  this->TellView(kTick);
  this->TellViewTo(id, kTick);
}

void SmallFleet::Kill(common::InstanceId id) {
  Member* const member = this->Find(id);
  if (member == nullptr) {
    return;
  }
  InstanceView ghost = member->truth;
  this->members.erase(id);
  this->ghosts[id] = ghost;
  this->later.emplace_back(this->now + this->plan.news.suspicion, [this, id] {
    if (const auto found = this->ghosts.find(id); found != this->ghosts.end()) {
      found->second.use = InstanceUse::kSuspected;
      this->TellView({});
    }
  });
}

void SmallFleet::Replace(common::InstanceId id) {
  const Member* const member = this->Find(id);
  if (member == nullptr) {
    return;
  }
  const common::DomainId domain = member->truth.domain;
  this->members.erase(id);
  this->Start(id, domain, {++this->incarnations});
  this->TellConfigurationTo(id, kTick);
  this->TellViewTo(id, kTick);
  this->TellView(kTick);
}

void SmallFleet::Pause(common::InstanceId id, std::chrono::milliseconds time) {
  Member* const member = this->Find(id);
  if (member == nullptr || member->paused) {
    return;
  }
  member->paused = true;
  member->paused_until = this->now + time;
  if (time <= this->plan.news.suspicion) {
    return;
  }
  this->later.emplace_back(this->now + this->plan.news.suspicion, [this, id] {
    if (Member* const sleeper = this->Find(id);
        sleeper != nullptr && sleeper->paused && !sleeper->leaving) {
      sleeper->truth.use = InstanceUse::kSuspected;
      this->TellView({});
    }
  });
}

void SmallFleet::Wake(Member& member) {
  member.paused = false;
  // What it believes is old; it knows, because its clock has jumped.
  FleetView stale = member.view;
  stale.lease = Lease::kStale;
  member.view = stale;
  Outbox outbox;
  member.balancer->OnFleetView(stale, this->now, outbox);
  this->Collect(member.truth.id, outbox);
  const bool was_suspected = member.truth.use == InstanceUse::kSuspected;
  if (was_suspected) {
    member.truth.use = InstanceUse::kOwner;
    this->TellView(kFreshWord);
  }
  this->TellViewTo(member.truth.id, kFreshWord);
}

void SmallFleet::Cut(common::DomainId domain) {
  if (this->IsCut(domain)) {
    return;
  }
  this->cut.push_back(domain);
  this->later.emplace_back(this->now + this->plan.news.suspicion, [this] {
    this->seen_cut = this->cut;
    this->TellView({});
  });
}

void SmallFleet::Heal(common::DomainId domain) {
  std::erase(this->cut, domain);
  this->later.emplace_back(this->now + kFreshWord, [this] {
    this->seen_cut = this->cut;
    this->TellView({});
    this->TellAll();
  });
}

void SmallFleet::Pass(std::chrono::milliseconds time) {
  const std::chrono::milliseconds end = this->now + time;
  while (this->now < end) {
    this->now += kTick;
    for (std::size_t i = 0; i < this->later.size();) {
      if (this->later[i].first > this->now) {
        ++i;
        continue;
      }
      const auto action = this->later[i].second;
      this->later.erase(this->later.begin() + static_cast<std::ptrdiff_t>(i));
      action();
    }
    for (auto& [id, member] : this->members) {
      if (member.paused && this->now >= member.paused_until) {
        this->Wake(member);
      }
    }
    this->Deliver();
    for (auto& [id, member] : this->members) {
      if (this->Runs(member)) {
        Outbox outbox;
        member.balancer->OnTick(this->now, outbox);
        this->Collect(id, outbox);
      }
    }
    this->StopLeavers();
  }
}

void SmallFleet::Apply(const News& news) {
  Member* const member = this->Find(news.to);
  if (member == nullptr) {
    return;
  }
  Outbox outbox;
  if (news.configuration != nullptr &&
      news.configuration->revision > member->revision) {
    member->revision = news.configuration->revision;
    member->in_force_since = this->now;
    member->balancer->OnConfiguration(news.configuration, this->now, outbox);
  }
  if (news.view != nullptr && news.version > member->view_version) {
    member->view_version = news.version;
    member->view = *news.view;
    member->balancer->OnFleetView(*news.view, this->now, outbox);
  }
  this->Collect(news.to, outbox);
}

void SmallFleet::Deliver() {
  std::vector<News> waiting;
  std::vector<News> due;
  for (News& next : this->news) {
    const Member* const member = this->Find(next.to);
    const bool held =
        next.due > this->now || (member != nullptr && !this->Runs(*member));
    (held ? waiting : due).push_back(std::move(next));
  }
  this->news = std::move(waiting);
  std::stable_sort(due.begin(), due.end(),
                   [](const News& a, const News& b) { return a.due < b.due; });
  for (const News& next : due) {
    this->Apply(next);
  }
  std::vector<Flight> later_flights;
  std::vector<Flight> arrived;
  for (Flight& flight : this->flights) {
    const Member* const member = this->Find(flight.to);
    const bool held =
        flight.due > this->now || (member != nullptr && !this->Runs(*member));
    (held ? later_flights : arrived).push_back(std::move(flight));
  }
  this->flights = std::move(later_flights);
  std::stable_sort(
      arrived.begin(), arrived.end(),
      [](const Flight& a, const Flight& b) { return a.due < b.due; });
  for (const Flight& flight : arrived) {
    Member* const member = this->Find(flight.to);
    const common::DomainId from = this->DomainOf(flight.from);
    if (member == nullptr || !this->Reaches(from, member->truth.domain)) {
      continue;
    }
    Outbox outbox;
    member->balancer->OnPeerMessage(flight.from, flight.message, this->now,
                                    outbox);
    this->Collect(flight.to, outbox);
  }
}

void SmallFleet::StopLeavers() {
  std::vector<common::InstanceId> done;
  for (const auto& [id, member] : this->members) {
    if (member.leaving && this->Runs(member) &&
        this->now - member.leaving_since >= kQuiet + this->plan.news.greatest &&
        member.balancer->Status().handed_over) {
      done.push_back(id);
    }
  }
  for (const common::InstanceId id : done) {
    this->members.erase(id);
    this->TellView({});
  }
}

void SmallFleet::Collect(common::InstanceId from, Outbox& outbox) {
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
        (faults.greatest_delay - faults.least_delay).count() + 1);
    const std::size_t times =
        this->Random(kPercent) < faults.repeated_percent ? 2 : 1;
    for (std::size_t i = 0; i < times; ++i) {
      if (this->Random(kPercent) < faults.lost_percent) {
        continue;
      }
      const std::chrono::milliseconds delay =
          faults.least_delay +
          std::chrono::milliseconds{static_cast<int>(this->Random(spread))};
      this->flights.push_back({this->now + delay, from, next.to, next.message});
    }
  }
  outbox.messages.clear();
  outbox.decisions.clear();
}

Fate SmallFleet::Send(common::InstanceId entry, PacketArrived packet) {
  Fate fate;
  common::InstanceId at = entry;
  for (std::size_t hop = 0; hop < kMostHops; ++hop) {
    Member* const member = this->Find(at);
    if (member == nullptr || !this->Runs(*member)) {
      return fate;
    }
    fate.path.push_back(at);
    fate.decided_by = at;
    fate.revision = member->revision;
    fate.in_force_since = member->in_force_since;
    Outbox outbox;
    const PacketAction action =
        member->balancer->OnPacket(packet, this->now, outbox);
    this->Collect(at, outbox);
    if (const auto* const forward = std::get_if<ForwardToTarget>(&action)) {
      fate.kind = Fate::Kind::kForwarded;
      fate.target = forward->target;
      fate.tunnel = forward->tunnel;
      return fate;
    }
    if (const auto* const reset = std::get_if<ResetCaller>(&action)) {
      fate.kind = Fate::Kind::kReset;
      fate.reset = reset->reason;
      return fate;
    }
    if (const auto* const drop = std::get_if<DropPacket>(&action)) {
      fate.kind = Fate::Kind::kDropped;
      fate.drop = drop->reason;
      return fate;
    }
    const auto& redirect = std::get<RedirectToInstance>(action);
    if (!this->Reaches(member->truth.domain,
                       this->DomainOf(redirect.instance))) {
      return fate;
    }
    packet = Handed(packet, redirect);
    at = redirect.instance;
  }
  return fate;
}

}  // namespace sassafrasdyke::core::testing

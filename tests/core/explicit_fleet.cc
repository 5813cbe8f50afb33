#include "core/explicit_fleet.h"

#include <algorithm>
#include <variant>

namespace sassafrasdyke::core::testing {

using namespace std::chrono_literals;

ExplicitFleet::ExplicitFleet(Configuration configuration)
    : configuration(std::move(configuration)) {}

void ExplicitFleet::Start(std::uint32_t id) {
  this->balancers[id] = std::make_unique<FlowBalancer>(common::InstanceId{id},
                                                       common::Incarnation{1});
  this->Configure(id, this->configuration);
}

void ExplicitFleet::Configure(std::uint32_t id, const Configuration& next) {
  Outbox outbox;
  this->balancers[id]->OnConfiguration(Accept(next), this->now, outbox);
  this->QueueMessages(id, outbox);
}

void ExplicitFleet::ConfigureAll(const Configuration& next) {
  this->configuration = next;
  for (const auto& [id, balancer] : this->balancers) {
    this->Configure(id, next);
  }
}

void ExplicitFleet::SetView(std::uint32_t id,
                            const std::vector<std::uint32_t>& members,
                            std::uint32_t leaver) {
  const FleetView all = SampleView(id, kMaxInstances);
  FleetView view = all;
  view.instances.clear();
  for (InstanceView instance : all.instances) {
    const auto member = instance.id.value;
    if (std::ranges::find(members, member) != members.end()) {
      instance.use =
          member == leaver ? InstanceUse::kLeaving : InstanceUse::kOwner;
      instance.domain = all.domain;
      view.instances.push_back(instance);
    }
  }
  view.leaving = id == leaver;
  Outbox outbox;
  this->balancers[id]->OnFleetView(view, this->now, outbox);
  this->QueueMessages(id, outbox);
}

void ExplicitFleet::Advance(std::chrono::milliseconds time) {
  for (const auto end = this->now + time; this->now < end;) {
    this->now += 100ms;
    for (auto& [id, balancer] : this->balancers) {
      Outbox outbox;
      balancer->OnTick(this->now, outbox);
      this->QueueMessages(id, outbox);
    }
    this->Deliver();
  }
}

void ExplicitFleet::SetFate(std::uint32_t from, std::uint32_t to, Fate fate) {
  this->fates[{from, to}] = fate;
}

void ExplicitFleet::EndFates(Release order) {
  this->fates.clear();
  if (order == Release::kReversed) {
    std::ranges::reverse(this->held_back);
  }
  this->messages.insert(this->messages.begin(), this->held_back.begin(),
                        this->held_back.end());
  this->held_back.clear();
  this->Deliver();
}

PacketAction ExplicitFleet::Decide(std::uint32_t entry, PacketArrived packet) {
  for (std::uint32_t at = entry;;) {
    Outbox outbox;
    const PacketAction action =
        this->balancers[at]->OnPacket(packet, this->now, outbox);
    this->QueueMessages(at, outbox);
    const auto* const redirect = std::get_if<RedirectToInstance>(&action);
    if (redirect == nullptr) {
      return action;
    }
    packet = Handed(packet, *redirect);
    at = redirect->instance.value;
    if (!this->balancers.contains(at)) {
      return DropPacket{DropReason::kUnreachable};
    }
  }
}

common::TargetId ExplicitFleet::Send(std::uint32_t entry,
                                     const PacketArrived& packet) {
  return ForwardedTo(this->Decide(entry, packet));
}

void ExplicitFleet::QueueMessages(std::uint32_t from, Outbox& outbox) {
  for (OutgoingMessage& message : outbox.messages) {
    this->messages.push_back({from, std::move(message)});
  }
}

void ExplicitFleet::Deliver() {
  while (!this->messages.empty()) {
    const Sent sent = std::move(this->messages.front());
    this->messages.erase(this->messages.begin());
    const auto fate = this->fates.find({sent.from, sent.message.to.value});
    switch (fate == this->fates.end() ? Fate::kAtOnce : fate->second) {
      case Fate::kAtOnce:
        this->Arrive(sent);
        break;
      case Fate::kHeldBack:
        this->held_back.push_back(sent);
        break;
      case Fate::kLost:
        break;
      case Fate::kTwice:
        this->Arrive(sent);
        this->Arrive(sent);
        break;
    }
  }
}

void ExplicitFleet::Arrive(const Sent& sent) {
  const auto to = this->balancers.find(sent.message.to.value);
  if (to != this->balancers.end()) {
    Outbox outbox;
    to->second->OnPeerMessage({sent.from}, sent.message.message, this->now,
                              outbox);
    this->QueueMessages(to->first, outbox);
  }
}

}  // namespace sassafrasdyke::core::testing

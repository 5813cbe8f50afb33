#include "rig/fabric.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kMillion = 1'000'000;
constexpr std::int64_t kPercent = 100;
constexpr std::uint64_t kDomainSeed = 2;

}  // namespace

Fabric::Fabric(const ScenarioNetwork& shape, const AddressPlan& plan,
               NaiveBalancers* naive, std::uint64_t seed, Scheduler& scheduler,
               Judge& judge)
    : shape(shape),
      plan(plan),
      naive(naive),
      random(seed),
      scheduler(scheduler),
      judge(judge) {
  if (naive != nullptr) {
    return;
  }
  this->source = std::make_unique<UdpSocket>(
      plan.FabricSource(),
      [](std::span<const std::uint8_t>, const common::Endpoint&) {});
  this->returns = std::make_unique<UdpSocket>(
      plan.FabricReturn(),
      [this](std::span<const std::uint8_t> datagram, const common::Endpoint&) {
        this->OnReturnDatagram(datagram);
      });
}

void Fabric::AddTarget(StandInTarget& target, common::DomainId domain) {
  const common::TargetId id = target.Shape().id;
  Port& port = this->ports[id];
  port.target = &target;
  port.domain = domain;
  if (this->naive != nullptr) {
    return;
  }
  port.socket = std::make_unique<UdpSocket>(
      this->plan.TargetTunnel(id.value),
      [this, id](std::span<const std::uint8_t> datagram,
                 const common::Endpoint& from) {
        this->OnTargetDatagram(id, datagram, from);
      });
}

void Fabric::AddInstance(common::InstanceId instance, common::DomainId domain) {
  if (this->naive != nullptr) {
    this->naive->Launch(instance);
  }
  Place& place = this->places[instance];
  place.domain = domain;
  place.tunnel = ToSocketAddress(this->plan.Tunnel(instance.value));
  this->by_tunnel.emplace(this->plan.Tunnel(instance.value), instance);
  if (this->shape.relay && !place.relay) {
    place.relay = std::make_unique<UdpSocket>(
        this->plan.RelayedTunnel(instance.value),
        [this, instance](std::span<const std::uint8_t> datagram,
                         const common::Endpoint& from) {
          this->OnRelayDatagram(instance, datagram, from);
        });
  }
}

void Fabric::SetRunning(common::InstanceId instance, bool running) {
  if (this->naive != nullptr) {
    this->naive->SetRunning(instance, running);
  }
}

void Fabric::Believe(common::InstanceId instance, bool alive) {
  this->places[instance].believed = alive;
  this->believed.clear();
  for (const auto& [id, place] : this->places) {
    if (place.believed) {
      this->believed.push_back(id);
    }
  }
}

void Fabric::Cut(common::DomainId domain) { this->cut.insert(domain); }

void Fabric::Heal(common::DomainId domain) { this->cut.erase(domain); }

bool Fabric::Separated(common::DomainId left, common::DomainId right) const {
  return left != right &&
         (this->cut.contains(left) || this->cut.contains(right));
}

std::chrono::microseconds Fabric::Delay(common::DomainId left,
                                        common::DomainId right) {
  return left == right ? std::chrono::microseconds{0}
                       : this->Vary(this->shape.domain_delay);
}

std::chrono::microseconds Fabric::Vary(std::chrono::microseconds delay) {
  const std::int64_t most =
      delay.count() * this->shape.jitter_percent / kPercent;
  const std::int64_t extra =
      most > 0 ? static_cast<std::int64_t>(this->random() %
                                           static_cast<std::uint64_t>(most))
               : 0;
  return delay + std::chrono::microseconds{extra};
}

bool Fabric::Lost(std::uint32_t per_million) {
  if (per_million == 0 || this->random() % kMillion >= per_million) {
    return false;
  }
  ++this->counts.lost;
  return true;
}

void Fabric::Send(const Segment& segment) {
  if (segment.heading == Heading::kToCaller) {
    ++this->counts.answers;
    this->scheduler.After(
        this->Vary(this->shape.caller_delay),
        [this, segment] { this->callers->OnSegment(segment); });
    return;
  }
  ++this->counts.sprayed;
  if (this->Lost(this->shape.loss_per_million)) {
    return;
  }
  this->scheduler.After(this->Vary(this->shape.caller_delay),
                        [this, segment] { this->Spray(segment); });
}

std::vector<common::InstanceId> Fabric::Candidates(
    const common::FlowKey& flow) const {
  // Anycast hands a flow to one failure domain, as long as one is there.
  std::set<common::DomainId> domains;
  for (const common::InstanceId id : this->believed) {
    domains.insert(this->places.at(id).domain);
  }
  if (domains.empty()) {
    return {};
  }
  const auto hash = common::FingerprintOf(flow, kDomainSeed).value;
  const common::DomainId home = *std::next(
      domains.begin(), static_cast<std::ptrdiff_t>(hash % domains.size()));
  std::vector<common::InstanceId> out;
  for (const common::InstanceId id : this->believed) {
    if (this->places.at(id).domain == home) {
      out.push_back(id);
    }
  }
  return out;
}

void Fabric::Spray(const Segment& segment) {
  const std::vector<common::InstanceId> candidates =
      this->confined ? this->Candidates(segment.flow) : this->believed;
  if (candidates.empty()) {
    ++this->counts.lost;
    return;
  }
  const auto choice = candidates[this->random() % candidates.size()];
  if (this->naive == nullptr) {
    this->source->Send(Encode(segment), this->places.at(choice).tunnel);
  } else if (const auto target = this->naive->Choose(choice, segment)) {
    this->Deliver(choice, *target, segment);
  }
}

void Fabric::OnTargetDatagram(common::TargetId target,
                              std::span<const std::uint8_t> datagram,
                              const common::Endpoint& from) {
  const auto segment = Decode(datagram, Heading::kToService);
  const auto sender = this->by_tunnel.find(from);
  if (!segment || sender == this->by_tunnel.end()) {
    this->judge.Malformed();
    return;
  }
  this->Deliver(sender->second, target, *segment);
}

void Fabric::Deliver(common::InstanceId from, common::TargetId target,
                     const Segment& segment) {
  const common::DomainId near = this->places.at(from).domain;
  const Port& port = this->ports.at(target);
  if (this->Separated(near, port.domain)) {
    ++this->counts.lost;
    return;
  }
  if (near != port.domain && this->Lost(this->shape.domain_loss_per_million)) {
    return;
  }
  this->scheduler.After(
      this->Delay(near, port.domain),
      [to = port.target, segment] { to->OnSegment(segment); });
}

void Fabric::OnReturnDatagram(std::span<const std::uint8_t> datagram) {
  const auto segment = Decode(datagram, Heading::kToCaller);
  if (!segment) {
    this->judge.Malformed();
    return;
  }
  ++this->counts.resets;
  this->scheduler.After(
      this->Vary(this->shape.caller_delay),
      [this, segment = *segment] { this->callers->OnSegment(segment); });
}

void Fabric::OnRelayDatagram(common::InstanceId to,
                             std::span<const std::uint8_t> datagram,
                             const common::Endpoint& from) {
  const auto sender = this->by_tunnel.find(from);
  if (sender == this->by_tunnel.end()) {
    this->judge.Malformed();
    return;
  }
  const common::InstanceId by = sender->second;
  const common::DomainId near = this->places.at(by).domain;
  const common::DomainId far = this->places.at(to).domain;
  if (this->Separated(near, far)) {
    ++this->counts.lost;
    return;
  }
  if (near != far && this->Lost(this->shape.domain_loss_per_million)) {
    return;
  }
  ++this->counts.redirects;
  this->counts.redirect_bytes += datagram.size();
  const auto send = [this, by, to,
                     copy = Datagram(datagram.begin(), datagram.end())] {
    this->places.at(by).relay->Send(copy, this->places.at(to).tunnel);
  };
  if (near == far) {
    send();
  } else {
    this->scheduler.After(this->Delay(near, far), send);
  }
}

}  // namespace sassafrasdyke::rig

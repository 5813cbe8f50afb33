#include "rig/load/model_fleet.h"

#include <algorithm>

#include "common/hash.h"

namespace sassafrasdyke::rig {
namespace {

using namespace std::chrono_literals;
using Time = EventQueue::Time;

constexpr Time kTick = 100ms;
/// Each instance sends ten digests a second, half of them within its domain:
/// two in each SyncLimits::observation_interval.
constexpr Time kDigestInterval = 100ms;
/// Within a domain, one way.
constexpr Time kNearDelay = 100us;
constexpr Time kProbeAnswer = 10ms;
constexpr Time kProbeDeadline = 200ms;
/// Machines that were off don't start at the same moment.
constexpr std::uint64_t kLongestStartUs = 300'000;
constexpr std::uint64_t kChanceSalt = 0x6368616E;
constexpr std::uint64_t kPeerSalt = 0x70656572;
constexpr std::uint32_t kInstanceAddress = 0x0B000000;  // 11.0.0.0
constexpr std::uint16_t kPeerPort = 720;

common::Endpoint EndpointOf(std::size_t instance) {
  const auto number = static_cast<std::uint32_t>(instance);
  return {common::IpAddress::FromV4(kInstanceAddress + number), kPeerPort};
}

}  // namespace

std::string DomainName(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

EventQueue::Time DelayBetween(const LoadScenario& scenario, std::size_t one,
                              std::size_t other) {
  return one == other ? kNearDelay : Time(scenario.domain_delay);
}

ModelFleet::ModelFleet(const LoadScenario& scenario, Factory make,
                       EventQueue& events, ModelNetwork& network)
    : scenario(scenario),
      make(std::move(make)),
      events(events),
      network(network),
      chances(common::HashNumbers(scenario.seed, 0, kChanceSalt)),
      peers(common::HashNumbers(scenario.seed, 0, kPeerSalt)) {
  for (std::size_t d = 0; d < scenario.domains.size(); ++d) {
    for (std::size_t i = 0; i < scenario.domains[d].instances; ++i) {
      this->instances.push_back({d, nullptr});
    }
  }
}

void ModelFleet::Start() {
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    this->StartInstance(i);
    this->ScheduleTicks(i);
    const Time phase(static_cast<Time::rep>(this->peers.Below(
        static_cast<std::uint64_t>(kDigestInterval.count()))));
    this->ScheduleDigests(i, phase, true);
  }
}

void ModelFleet::ScheduleOutage(Time at, Time lasts) {
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    this->events.After(at, [this, i] { this->instances[i].balancer.reset(); });
    const Time start(
        static_cast<Time::rep>(this->chances.Below(kLongestStartUs)));
    this->events.After(at + lasts + start,
                       [this, i] { this->StartInstance(i); });
  }
}

void ModelFleet::Publish(const std::string& key,
                         std::optional<core::PublishedItem> item,
                         Time learnt_within) {
  std::optional<std::string> value;
  if (item) {
    value = this->publication.Add(std::move(*item));
  }
  this->published.emplace_back(key, value);
  const common::Revision at{this->published.size()};
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    if (this->instances[i].balancer == nullptr) {
      continue;  // It takes all when it starts.
    }
    const Time wait(static_cast<Time::rep>(this->chances.Below(
        static_cast<std::uint64_t>(learnt_within.count()) + 1)));
    this->events.After(wait, [this, i, key, value, at] {
      if (this->instances[i].balancer != nullptr) {
        core::ChangeBatch batch;
        batch.at = at;
        batch.changes.push_back({key, at, value});
        this->instances[i].balancer->OnItems(std::move(batch),
                                             this->events.NowMs());
      }
    });
  }
}

void ModelFleet::StartInstance(std::size_t instance) {
  Instance& started = this->instances[instance];
  started.balancer =
      this->make({DomainName(started.domain),
                  this->scenario.domains[started.domain].instances,
                  this->instances.size()},
                 this->publication);
  core::ChangeBatch batch;
  for (std::size_t i = 0; i < this->published.size(); ++i) {
    const auto& [key, value] = this->published[i];
    batch.changes.push_back({key, {i + 1}, value});
  }
  batch.at = {this->published.size()};
  started.balancer->OnItems(std::move(batch), this->events.NowMs());
}

void ModelFleet::ScheduleTicks(std::size_t instance) {
  this->events.After(kTick, [this, instance] {
    if (BalancerVariant* const up = this->instances[instance].balancer.get()) {
      this->Send(instance, up->OnTick(this->events.NowMs()));
    }
    this->ScheduleTicks(instance);
  });
}

void ModelFleet::ScheduleDigests(std::size_t instance, Time wait,
                                 bool to_own_domain) {
  this->events.After(wait, [this, instance, to_own_domain] {
    if (const auto peer = this->DrawPeer(instance, to_own_domain)) {
      this->SendDigest(instance, *peer);
    }
    this->ScheduleDigests(instance, kDigestInterval, !to_own_domain);
  });
}

void ModelFleet::SendDigest(std::size_t from, std::size_t to) {
  const std::size_t domain = this->instances[from].domain;
  const std::size_t other = this->instances[to].domain;
  BalancerVariant* const sender = this->instances[from].balancer.get();
  if (sender == nullptr ||
      this->scenario.IsCut(domain, other, this->events.Now())) {
    return;
  }
  core::PeerObservations observations;
  observations.sent_at = this->events.NowMs();
  sender->AppendObservations(observations, this->events.NowMs());
  this->events.After(
      DelayBetween(this->scenario, domain, other),
      [this, from, to, observations = std::move(observations)] {
        if (BalancerVariant* const up = this->instances[to].balancer.get()) {
          up->OnObservations(EndpointOf(from),
                             DomainName(this->instances[from].domain),
                             observations, this->events.NowMs());
        }
      });
}

std::optional<std::size_t> ModelFleet::DrawPeer(std::size_t instance,
                                                bool of_own_domain) {
  std::vector<std::size_t> choices;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    if (i != instance &&
        (!of_own_domain ||
         this->instances[i].domain == this->instances[instance].domain)) {
      choices.push_back(i);
    }
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[this->peers.Below(choices.size())];
}

void ModelFleet::OnPacket(const core::FlowPacket& packet, std::size_t domain) {
  if (const auto instance = this->InstanceFor(packet, domain)) {
    this->Send(*instance, this->instances[*instance].balancer->OnPacket(
                              packet, this->events.NowMs()));
  }
}

void ModelFleet::Send(std::size_t instance,
                      const std::vector<Forwarded>& packets) {
  const Instance& sender = this->instances[instance];
  for (const Forwarded& out : packets) {
    this->network.Send(sender.domain, out);
  }
  if (this->scenario.probes) {
    for (const std::uint32_t word :
         sender.balancer->TakeProbes(this->events.NowMs())) {
      this->StartProbe(instance, word);
    }
  }
}

void ModelFleet::StartProbe(std::size_t instance, std::uint32_t word) {
  const bool accepted =
      this->network.Accepts(this->instances[instance].domain, word);
  const auto started = this->events.NowMs();
  this->events.After(accepted ? kProbeAnswer : kProbeDeadline, [this, instance,
                                                                word, accepted,
                                                                started] {
    if (BalancerVariant* const up = this->instances[instance].balancer.get()) {
      this->Send(instance,
                 up->OnProbed(word, accepted, started, this->events.NowMs()));
    }
  });
}

// A router hashes over the instances that are up; the flows of one that ends
// move, others stay.
std::optional<std::size_t> ModelFleet::InstanceFor(
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

}  // namespace sassafrasdyke::rig

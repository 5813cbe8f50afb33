#include "core/model/local_table_balancer.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace sassafrasdyke::core::testing {

std::unique_ptr<Balancer> MakeLocalTableBalancer(
    common::InstanceId /*self*/, common::Incarnation /*incarnation*/) {
  return std::make_unique<LocalTableBalancer>();
}

PacketAction LocalTableBalancer::OnPacket(const PacketArrived& packet,
                                          std::chrono::milliseconds /*now*/,
                                          Outbox& /*outbox*/) {
  if (this->configuration == nullptr) {
    return DropPacket{DropReason::kStale};
  }
  const common::Fingerprint flow =
      common::FingerprintOf(packet.flow, this->configuration->hash_seed);
  const auto known = this->flows.find(flow);
  const Target* target =
      known == this->flows.end() ? nullptr : this->Find(known->second);
  if (target == nullptr) {
    target = this->Choose(packet.flow.service, flow);
  }
  if (target == nullptr) {
    return DropPacket{DropReason::kNoTarget};
  }
  this->flows[flow] = target->id;
  return ForwardToTarget{target->id, target->tunnel, PlacementReason::kDefault};
}

const Target* LocalTableBalancer::Choose(const common::Endpoint& service,
                                         common::Fingerprint flow) const {
  const auto& services = this->configuration->services;
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&service](const Service& candidate) {
                                    return candidate.address == service;
                                  });
  if (found == services.end()) {
    return nullptr;
  }
  const Target* best = nullptr;
  double best_score = -1.0;
  for (const Target& target : this->configuration->targets) {
    if (target.service != found->id || target.state != TargetState::kServing) {
      continue;
    }
    const double score = common::RendezvousScore(
        common::HashNumbers(flow.value, target.id.value, 0), target.weight);
    if (score > best_score) {
      best_score = score;
      best = &target;
    }
  }
  return best;
}

const Target* LocalTableBalancer::Find(common::TargetId id) const {
  for (const Target& target : this->configuration->targets) {
    if (target.id == id) {
      return &target;
    }
  }
  return nullptr;
}

void LocalTableBalancer::OnConfiguration(
    std::shared_ptr<const Configuration> configuration,
    std::chrono::milliseconds /*now*/, Outbox& /*outbox*/) {
  this->configuration = std::move(configuration);
}

void LocalTableBalancer::OnFleetView(const FleetView& view,
                                     std::chrono::milliseconds /*now*/,
                                     Outbox& /*outbox*/) {
  this->leaving = view.leaving;
}

void LocalTableBalancer::OnPeerMessage(common::InstanceId /*from*/,
                                       const PeerMessage& /*message*/,
                                       std::chrono::milliseconds /*now*/,
                                       Outbox& /*outbox*/) {}

void LocalTableBalancer::OnTick(std::chrono::milliseconds /*now*/,
                                Outbox& /*outbox*/) {}

BalancerStatus LocalTableBalancer::Status() const {
  BalancerStatus status;
  status.flows = this->flows.size();
  status.handed_over = this->leaving;
  return status;
}

}  // namespace sassafrasdyke::core::testing

/// The baseline balancer that the production balancer is compared with.
#pragma once

#include <tsl/robin_map.h>

#include <chrono>
#include <memory>

#include "common/ids.h"
#include "core/balancer.h"

namespace sassafrasdyke::core::testing {

/// Each instance hashes a flow over the serving targets and records the choice
/// in a local table. It redirects no packets and replicates no records, so
/// after a change of targets, a flow whose packets reach an instance without
/// its record may go to another target.
class LocalTableBalancer final : public Balancer {
 public:
  PacketAction OnPacket(const PacketArrived& packet,
                        std::chrono::milliseconds now, Outbox& outbox) override;
  void OnConfiguration(std::shared_ptr<const Configuration> configuration,
                       std::chrono::milliseconds now, Outbox& outbox) override;
  void OnFleetView(const FleetView& view, std::chrono::milliseconds now,
                   Outbox& outbox) override;
  void OnPeerMessage(common::InstanceId from, const PeerMessage& message,
                     std::chrono::milliseconds now, Outbox& outbox) override;
  void OnTick(std::chrono::milliseconds now, Outbox& outbox) override;
  BalancerStatus Status() const override;

 private:
  const Target* Choose(const common::Endpoint& service,
                       common::Fingerprint flow) const;
  const Target* Find(common::TargetId id) const;

  std::shared_ptr<const Configuration> configuration;
  bool leaving{false};
  tsl::robin_map<common::Fingerprint, common::TargetId> flows;
};

std::unique_ptr<Balancer> MakeLocalTableBalancer(
    common::InstanceId self, common::Incarnation incarnation);

}  // namespace sassafrasdyke::core::testing

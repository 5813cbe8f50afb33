/// The balancer of this product: decides about each packet from the records,
/// the copies and the maps.
#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/exchange/exchange.h"
#include "core/flow/flow_world.h"
#include "core/placement/placer.h"

namespace sassafrasdyke::core {

/// One partition has one owner, and the owner alone places new flows. Everyone
/// else hands packets on.
class FlowBalancer final : public Balancer {
 public:
  FlowBalancer(common::InstanceId self, common::Incarnation incarnation);
  FlowBalancer(const FlowBalancer&) = delete;
  FlowBalancer& operator=(const FlowBalancer&) = delete;

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
  /// A packet with what was found out about it.
  struct Context {
    const PacketArrived& packet;
    common::Fingerprint flow;
    ServiceIndex service;
    PartitionIndex partition;
    std::chrono::milliseconds now;
    Outbox& outbox;
  };

  PacketAction Route(const Context& context);
  PacketAction DecideAsOwner(const Context& context);
  PacketAction AnswerNewOwner(const Context& context);
  /// Hands the packet on, to be asked about in the name of `asker` if there is
  /// one.
  PacketAction Redirect(
      const Context& context, common::InstanceId to, DropReason otherwise,
      std::optional<common::InstanceId> asker = std::nullopt) const;
  /// Asks the next that may know the packet's flow, in the name of `asker`.
  /// Nothing when all of them have been asked.
  std::optional<PacketAction> Ask(const Context& context,
                                  common::InstanceId asker) const;

  PacketAction HandleKnown(const Context& context, FlowRecord& record);
  PacketAction HandleKnownSyn(const Context& context, FlowRecord& record);
  PacketAction EndAtGoneTarget(const Context& context);
  PacketAction HandleUnknown(const Context& context);
  PacketAction HandleStale(const Context& context) const;
  PacketAction FollowCopy(const Context& context, TargetSlot slot);
  PacketAction Recover(const Context& context);
  /// Whether a domain that can't be reached may have taken flows of the
  /// partition: then an unknown flow may be one of those, and the fallback
  /// would reset it. The caller sends again, perhaps to the other side.
  bool MayBeAdopted(PartitionIndex partition) const;
  PacketAction PlaceNew(const Context& context,
                        std::optional<PlacementReason> reason);
  PacketAction Refuse(const Context& context, DropReason reason);
  PacketAction EndWithReset(const Context& context, ResetReason reason);

  void NoteProgress(const Context& context, FlowRecord& record);
  FlowRecord MakeRecord(const Context& context, TargetSlot slot,
                        FlowState state) const;
  ForwardToTarget Forward(TargetSlot slot, PlacementReason reason) const;
  void EndFlow(const Context& context);
  template <typename What>
  void Note(const Context& context, What what) const;

  common::InstanceId self;
  FlowWorld world;
  Exchange exchange;
};

}  // namespace sassafrasdyke::core

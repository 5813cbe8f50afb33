/// The production balancer: decides about each packet by the flow records, the
/// copies from other instances, and the owner and subset maps.
#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/exchange/exchange.h"
#include "core/exchange/ownership.h"
#include "core/flow/local_state.h"
#include "core/placement/placer.h"

namespace sassafrasdyke::core {

/// Each partition has one owner, which alone places new flows. The other
/// instances redirect packets to it.
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
  /// A packet with its lookup results.
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
  /// Decides about a packet of a flow that this instance hands over; empty if
  /// it has no record of it.
  std::optional<PacketAction> DecideByOwnRecord(const Context& context);
  /// Answers the owner, which asked this instance about an unknown flow.
  PacketAction AnswerOwner(const Context& context);
  /// Redirects the packet to `to`, as an inquiry on behalf of `asker` if that
  /// is given. Drops it for reason `otherwise` if `to` isn't in the view.
  PacketAction Redirect(
      const Context& context, common::InstanceId to, DropReason otherwise,
      std::optional<common::InstanceId> asker = std::nullopt) const;
  PacketAction HandleKnown(const Context& context, FlowRecord& record);
  PacketAction HandleKnownSyn(const Context& context, FlowRecord& record);
  PacketAction HandleGoneTarget(const Context& context);
  PacketAction HandleUnknown(const Context& context);
  PacketAction HandleStale(const Context& context) const;
  PacketAction FollowCopy(const Context& context, TargetSlot slot);
  PacketAction Recover(const Context& context);
  /// Whether an unreachable failure domain may have adopted flows of the
  /// partition. An unknown flow may then be one of those, and the fallback
  /// target would reset it. The caller retransmits a dropped packet, which may
  /// reach the other side.
  bool MayBeAdopted(PartitionIndex partition) const;
  PacketAction PlaceNew(const Context& context,
                        std::optional<PlacementReason> reason);
  PacketAction Refuse(const Context& context, DropReason reason);
  PacketAction EndWithReset(const Context& context, ResetReason reason);

  void UpdateRecord(const Context& context, FlowRecord& record);
  FlowRecord MakeRecord(const Context& context, TargetSlot slot,
                        FlowState state) const;
  ForwardToTarget Forward(TargetSlot slot, PlacementReason reason) const;
  void EndFlow(const Context& context);
  template <typename What>
  void RecordDecision(const Context& context, What what) const;

  common::InstanceId self;
  LocalState local;
  Exchange exchange;
  Ownership ownership;
};

}  // namespace sassafrasdyke::core

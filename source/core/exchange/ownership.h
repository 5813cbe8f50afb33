/// Decides which instance owns a partition.
#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/exchange/exchange.h"
#include "core/exchange/owner_search.h"
#include "core/exchange/ownership_grants.h"
#include "core/flow/local_state.h"
#include "core/messages.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// A partition has one owner, which alone places its flows. Views only
/// designate owners: while they differ, two instances may be designated at a
/// time. So an owner remains the owner until it grants the ownership to the
/// instance that its view designates, and stops to decide before that one can
/// start. A designated instance that isn't granted the ownership searches for
/// the owner, and takes the partition only if there is none: nobody has ever
/// owned it, or the owner has failed. Times are monotonic.
///
/// An owner grants the ownership only after its own predecessor's hand-over has
/// ended. So at most one hand-over of a partition is under way, and an owner
/// has one instance to ask about flows that it doesn't know.
class Ownership {
 public:
  /// `local` and `exchange` must outlive it.
  Ownership(common::InstanceId self, common::Incarnation incarnation,
            LocalState& local, Exchange& exchange);

  /// The configuration or the fleet view changed.
  void Reconcile(std::chrono::milliseconds now, Outbox& outbox);

  void OnGrant(common::InstanceId from, const OwnershipGrant& grant,
               std::chrono::milliseconds now, Outbox& outbox);
  /// A packet from `from` carried a grant.
  void OnPacketGrant(common::InstanceId from, PartitionIndex partition,
                     common::GrantNumber number, std::chrono::milliseconds now,
                     Outbox& outbox);
  void OnGrantAck(common::InstanceId from, const OwnershipGrantAck& ack,
                  Outbox& outbox);
  void OnOwnerRequest(common::InstanceId from, const OwnerRequest& request,
                      std::chrono::milliseconds now, Outbox& outbox);
  void OnOwnerReply(common::InstanceId from, const OwnerReply& reply,
                    std::chrono::milliseconds now, Outbox& outbox);

  /// The hand-over of `from` to this instance, the owner, has ended.
  void OnHandOverEnd(common::InstanceId from, const PartitionKey& partition,
                     std::chrono::milliseconds now, Outbox& outbox);

  void OnTick(std::chrono::milliseconds now, Outbox& outbox);

  /// The next instance on the packet's way to the owner of its partition, which
  /// isn't this one. Empty if this instance knows none that may answer.
  std::optional<common::InstanceId> HopToOwner(
      PartitionIndex partition, const Arrival& arrival,
      std::chrono::milliseconds now) const;

  /// This instance's unfinished grant of the partition to `receiver`; 0 for
  /// none.
  common::GrantNumber GrantFor(PartitionIndex partition,
                               common::InstanceId receiver) const {
    return this->grants.NumberFor(this->local.Directory().KeyOf(partition),
                                  receiver);
  }

 private:
  void ReconcilePartition(PartitionIndex partition,
                          std::chrono::milliseconds now, Outbox& outbox);
  /// Stores what the new view designates. Returns whether it designates another
  /// instance than the one before.
  bool UpdateDesignated(PartitionIndex partition,
                        std::chrono::milliseconds now);
  /// Returns copies of others to a designated instance that has none.
  void ReturnCopies(PartitionIndex partition, bool changed,
                    common::Incarnation incarnation_before);
  /// This instance is designated: searches for the owner, or takes the
  /// partition at once if `likely_owner` has failed or is 0.
  void Seek(PartitionIndex partition, common::InstanceId likely_owner,
            std::chrono::milliseconds now, Outbox& outbox);
  /// The instance that was designated before this one, or would be without it.
  common::InstanceId PredecessorOf(PartitionIndex partition) const;
  /// Makes this instance the owner after `before`; 0 if there was no other.
  void Take(PartitionIndex partition, common::InstanceId before,
            std::chrono::milliseconds now, Outbox& outbox);
  /// Takes a partition that has no owner, if it still has none.
  void TakeUnowned(const PartitionKey& key, std::chrono::milliseconds now,
                   Outbox& outbox);
  /// Grants the ownership to the designated instance if it is time.
  void YieldIfReady(PartitionIndex partition, std::chrono::milliseconds now,
                    Outbox& outbox);
  void Grant(PartitionIndex partition, std::chrono::milliseconds now,
             Outbox& outbox);
  /// Makes this instance the owner if the grant is new.
  GrantNovelty Accept(common::InstanceId from, PartitionIndex partition,
                      const OwnershipGrant& grant,
                      std::chrono::milliseconds now, Outbox& outbox);
  /// Whether the instance that was granted the ownership last still runs.
  bool IsReceiverUp(PartitionIndex partition) const;
  /// Those of the state's likely owners that answer.
  std::vector<common::InstanceId> LikelyOwners(PartitionIndex partition) const;
  OwnerReply KnowledgeOfOwner(PartitionIndex partition,
                              std::chrono::milliseconds now) const;
  /// The partition's index; empty if this instance doesn't know its service or
  /// has no view.
  std::optional<PartitionIndex> Find(const PartitionKey& key) const;
  void RecordDecision(PartitionIndex partition, PartitionEvent event,
                      common::InstanceId other, Outbox& outbox) const;

  common::InstanceId self;
  LocalState& local;
  Exchange& exchange;
  OwnershipGrants grants;
  OwnerSearch search;
  std::chrono::milliseconds cleaned_at{0};
};

}  // namespace sassafrasdyke::core

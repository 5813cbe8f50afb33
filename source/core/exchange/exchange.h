/// Transfers flow state between instances as the ownership of partitions
/// changes.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/balancer.h"
#include "core/exchange/copy_gatherer.h"
#include "core/exchange/copy_sender.h"
#include "core/exchange/copy_store.h"
#include "core/exchange/fallbacks.h"
#include "core/exchange/owner_inquiry.h"
#include "core/exchange/unresolved_flows.h"
#include "core/flow/local_state.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Takes over and hands over partitions, copies exceptions to the standbys, and
/// holds the copies that other instances have sent.
class Exchange {
 public:
  /// `local` must outlive it.
  Exchange(common::InstanceId self, common::Incarnation incarnation,
           LocalState& local);

  /// The configuration changed; `ended` lists the targets that were removed or
  /// whose ids now denote another target.
  void OnConfiguration(const std::vector<common::TargetId>& ended,
                       std::chrono::milliseconds now, Outbox& outbox);

  /// The fleet view changed from `before`.
  void OnView(const FleetView& before, std::chrono::milliseconds now,
              Outbox& outbox);

  void OnCopy(common::InstanceId from, const ExceptionCopy& copy,
              std::chrono::milliseconds now, Outbox& outbox);
  void OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
             std::chrono::milliseconds now, Outbox& outbox);
  void OnOpeningsKnown(common::InstanceId from, const OpeningsKnown& known,
                       std::chrono::milliseconds now);

  /// A record was created. It is copied if it is an exception and lives long
  /// enough, or at once if it was placed on behalf of the owner.
  void OnOpened(common::Fingerprint flow, PartitionIndex partition,
                const FlowRecord& record, std::chrono::milliseconds now);

  /// A record is about to be erased.
  void OnEnded(common::Fingerprint flow, const FlowRecord& record,
               std::chrono::milliseconds now);

  /// The new owner asked about a flow that is unknown here as well. If this
  /// instance has nothing to hand over for the partition, it answers so with a
  /// hand-over of its own, at a limited rate.
  void OnUnansweredInquiry(PartitionIndex partition, common::InstanceId asker,
                           std::chrono::milliseconds now);

  void OnTick(std::chrono::milliseconds now, Outbox& outbox);

  /// Selects the instances to ask about unknown flows.
  OwnerInquiry& Inquiry() { return this->inquiry; }
  const OwnerInquiry& Inquiry() const { return this->inquiry; }

  /// Whether another instance may still send flows of the partition.
  bool IsLearning(PartitionIndex partition,
                  std::chrono::milliseconds now) const;

  /// Whether this instance holds a full set of `owner`'s copies.
  bool HoldsCopiesOf(common::InstanceId owner, PartitionIndex partition) const;

  /// The target that a copy names for the flow, if it belongs to the flow's
  /// service.
  std::optional<TargetSlot> FindCopy(common::Fingerprint flow,
                                     PartitionIndex partition) const;

  /// Whether a copy names a target for the flow that this instance's
  /// configuration doesn't contain yet, shortly after taking over.
  bool AwaitsTarget(common::Fingerprint flow, PartitionIndex partition,
                    std::chrono::milliseconds now) const;

  /// Whether it is certain that no SYN of a flow without a record was
  /// forwarded, neither by this instance nor by an earlier owner.
  bool IsCertainlyNew(common::Fingerprint flow, PartitionIndex partition,
                      std::chrono::milliseconds now) const;

  void EraseCopy(common::Fingerprint flow, PartitionIndex partition);

  /// Where an established flow without any record is presumed to be.
  TargetSlot FallbackOf(PartitionIndex partition) const {
    return this->fallbacks.Of(partition);
  }

  /// Factor of at least 1 on the deviation threshold: the less copy budget is
  /// left, the fewer exceptions placement should create.
  double DeviationFactor(std::chrono::milliseconds now);

  std::size_t CopiesHeld() const {
    return this->store.Size() + this->unresolved.Size();
  }
  std::size_t CopiesWaiting() const;
  bool IsHandingOver() const;

 private:
  /// A flow that is copied if it still exists at `due`.
  struct PendingCopy {
    common::Fingerprint flow;
    common::ServiceId service;
    std::chrono::milliseconds due{0};
  };

  void Reconcile(std::chrono::milliseconds now, Outbox& outbox);
  void ReconcilePartition(PartitionIndex partition,
                          std::chrono::milliseconds now, Outbox& outbox);
  void TakeOwnership(PartitionIndex partition, std::chrono::milliseconds now,
                     Outbox& outbox);
  /// Imports and acknowledges the hand-overs that ended before this instance
  /// learned that it owns the partition.
  void ImportHandOvers(PartitionIndex partition, std::chrono::milliseconds now,
                       Outbox& outbox);
  void GiveUpOwnership(PartitionIndex partition, Outbox& outbox);
  void StartHandOver(PartitionIndex partition);
  /// Whether copies are held here that the destination didn't send itself.
  bool HoldsCopiesFromOthers(PartitionIndex partition,
                             const CopyDestination& destination) const;
  void UpdateStandby(PartitionIndex partition);
  std::optional<CopyDestination> DestinationOf(common::InstanceId id) const;
  common::InstanceId PredecessorOf(PartitionIndex partition) const;
  void StartInquiry(PartitionIndex partition, common::InstanceId previous,
                    std::chrono::milliseconds until);
  void InquireInHealedDomains(const std::vector<common::DomainId>& healed,
                              std::chrono::milliseconds now);

  void ImportSet(PartitionIndex partition, const CopySet& set,
                 std::chrono::milliseconds now);
  void ImportAllSets(PartitionIndex partition, std::chrono::milliseconds now);
  void ImportFlow(PartitionIndex partition, const FlowException& exception,
                  std::chrono::milliseconds now);
  /// Creates records for unresolved flows whose targets the configuration now
  /// contains.
  void ImportResolved(PartitionIndex partition, std::chrono::milliseconds now);
  /// The target that a copy names for the flow, whether or not the
  /// configuration contains it.
  std::optional<common::TargetId> NamedTarget(common::Fingerprint flow,
                                              PartitionIndex partition) const;
  void SettleFallback(PartitionIndex partition, std::chrono::milliseconds now);
  void MoveFallbacks(std::chrono::milliseconds now, Outbox& outbox);

  void QueueDueCopies(std::chrono::milliseconds now);
  /// The fallback to announce to a new owner: this instance's own or that of
  /// the newest copies; 0 if it knows none.
  common::TargetId FallbackToAnnounce(PartitionIndex partition,
                                      const CopyDestination& destination) const;
  void StartDeferredHandOvers(std::chrono::milliseconds now);
  void DropOldCopies(std::chrono::milliseconds now);
  void RecordDecision(PartitionIndex partition, PartitionEvent event,
                      common::InstanceId other, Outbox& outbox) const;

  common::InstanceId self;
  LocalState& local;
  CopySender sender;
  CopyStore store;
  UnresolvedFlows unresolved;
  Fallbacks fallbacks;
  CopyGatherer gatherer;
  OwnerInquiry inquiry;
  std::deque<PendingCopy> pending_copies;
  std::chrono::milliseconds cleaned_at{0};
};

}  // namespace sassafrasdyke::core

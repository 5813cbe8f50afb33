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
#include "core/exchange/unresolved_flows.h"
#include "core/flow/local_state.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Hands over the flows of partitions and takes them over, copies exceptions to
/// the standbys, and holds the copies that other instances have sent.
class Exchange {
 public:
  /// `local` must outlive it.
  Exchange(common::InstanceId self, common::Incarnation incarnation,
           LocalState& local);

  /// The configuration changed; `ended` lists the targets that were removed or
  /// whose ids now denote another target.
  void OnConfiguration(const std::vector<common::TargetId>& ended,
                       Outbox& outbox);

  /// Creates records for unresolved flows whose targets the configuration now
  /// contains.
  void ImportResolvedFlows(std::chrono::milliseconds now);

  /// The fleet view changed from `before`.
  void OnView(const FleetView& before, std::chrono::milliseconds now);

  /// Returns whether the copy ended the hand-over of `from` to this instance as
  /// the owner.
  bool OnCopy(common::InstanceId from, const ExceptionCopy& copy,
              std::chrono::milliseconds now, Outbox& outbox);
  void OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
             std::chrono::milliseconds now, Outbox& outbox);
  void OnOpeningsKnown(common::InstanceId from, const OpeningsKnown& known,
                       std::chrono::milliseconds now);

  /// This instance became the owner after `before`; 0 if there was no other.
  void OnTaken(PartitionIndex partition, common::InstanceId before,
               std::chrono::milliseconds now, Outbox& outbox);
  /// This instance is no longer the owner.
  void OnGivenUp(PartitionIndex partition);

  /// Sends the receiver all flows of the partition that it must know: of this
  /// instance as the owner before, or copies of others.
  void StartHandOver(PartitionIndex partition, common::InstanceId receiver);
  /// The receiver has everything that this instance, as the owner before, had
  /// to hand over.
  void OnHandedOver(PartitionIndex partition, common::InstanceId receiver,
                    Outbox& outbox);
  /// Asks `from` to hand over anew if it did so before it granted the
  /// ownership.
  void DiscardHandOverFrom(common::InstanceId from, PartitionIndex partition,
                           Outbox& outbox);
  /// Acknowledges the hand-over of `from` if it has ended and this instance
  /// learns from it. Returns whether it has.
  bool FinishHandOverFrom(common::InstanceId from, PartitionIndex partition,
                          std::chrono::milliseconds now, Outbox& outbox);
  /// Asks `previous` about unknown flows until its hand-over has ended, or for
  /// a limited time from the last call.
  void StartInquiry(PartitionIndex partition, common::InstanceId previous,
                    std::chrono::milliseconds now);
  /// Whether `owner` has copied the whole partition here as its owner, and not
  /// only returned copies of others.
  bool HoldsCopiesOf(common::InstanceId owner, PartitionIndex partition) const;
  /// Starts or stops copying to the standby of the owner, which this instance
  /// is.
  void UpdateStandby(PartitionIndex partition);
  /// Whether copies are held here that `receiver` didn't send itself.
  bool HoldsCopiesFromOthers(PartitionIndex partition,
                             common::InstanceId receiver) const;

  /// A record was created. It is copied if it is an exception and lives long
  /// enough.
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

  /// The instance that may still know flows of the partition, usually the owner
  /// before this one; empty once the time to ask it is over or it doesn't
  /// answer.
  std::optional<common::InstanceId> PreviousOwner(
      PartitionIndex partition, std::chrono::milliseconds now) const;

  /// Whether another instance may still send flows of the partition.
  bool IsLearning(PartitionIndex partition,
                  std::chrono::milliseconds now) const;

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

  /// Imports and acknowledges the hand-overs that ended before this instance
  /// became the owner.
  void ImportHandOvers(PartitionIndex partition, std::chrono::milliseconds now,
                       Outbox& outbox);
  /// The sender of the set has handed over everything.
  void FinishHandOver(PartitionIndex partition, const CopySet& set,
                      std::chrono::milliseconds now);
  std::optional<CopyDestination> DestinationOf(common::InstanceId id) const;
  void AskUntil(PartitionIndex partition, common::InstanceId previous,
                std::chrono::milliseconds until);
  /// Ends the inquiries at instances that are gone or have had enough time.
  void EndInquiries(std::chrono::milliseconds now);
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
  std::deque<PendingCopy> pending_copies;
  std::chrono::milliseconds cleaned_at{0};
};

}  // namespace sassafrasdyke::core

/// Moves what is known of flows between instances as ownership changes.
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
#include "core/flow/flow_world.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Takes and gives up partitions, keeps the standbys informed, and knows what
/// other instances have copied to this one.
class Exchange {
 public:
  /// `world` must outlive it.
  Exchange(common::InstanceId self, common::Incarnation incarnation,
           FlowWorld& world);

  /// The world's configuration changed; `ended` are targets' lives that ended.
  void OnConfiguration(const std::vector<common::TargetId>& ended,
                       std::chrono::milliseconds now, Outbox& outbox);

  /// The world's view changed from `before`.
  void OnView(const FleetView& before, std::chrono::milliseconds now,
              Outbox& outbox);

  void OnCopy(common::InstanceId from, const ExceptionCopy& copy,
              std::chrono::milliseconds now, Outbox& outbox);
  void OnAck(common::InstanceId from, const ExceptionCopyAck& ack,
             std::chrono::milliseconds now, Outbox& outbox);
  void OnOpeningsKnown(common::InstanceId from, const OpeningsKnown& known,
                       std::chrono::milliseconds now);

  /// A record was made; it is copied when it is an exception that lasts.
  void OnOpened(common::Fingerprint flow, PartitionIndex partition,
                const FlowRecord& record, std::chrono::milliseconds now);

  /// A record is about to end.
  void OnEnded(common::Fingerprint flow, const FlowRecord& record,
               std::chrono::milliseconds now);

  /// The new owner asks about a flow that is unknown here as well. If this
  /// instance has nothing of the whole partition, it says so.
  void OnAskedInVain(PartitionIndex partition, common::InstanceId asker,
                     std::chrono::milliseconds now);

  void OnTick(std::chrono::milliseconds now, Outbox& outbox);

  /// Whom to ask about flows that aren't known here.
  OwnerInquiry& Inquiry() { return this->inquiry; }
  const OwnerInquiry& Inquiry() const { return this->inquiry; }

  /// Whether another instance may still have something to tell about the
  /// partition.
  bool IsLearning(PartitionIndex partition,
                  std::chrono::milliseconds now) const;

  /// Whether this instance is informed as `owner`'s standby.
  bool HoldsCopiesOf(common::InstanceId owner, PartitionIndex partition) const;

  /// The target that a copy names for the flow, if it is of the same service.
  std::optional<TargetSlot> FindCopy(common::Fingerprint flow,
                                     PartitionIndex partition) const;

  /// Whether a copy names a target for the flow that this instance's
  /// configuration will name soon.
  bool AwaitsTarget(common::Fingerprint flow, PartitionIndex partition,
                    std::chrono::milliseconds now) const;

  /// Whether no SYN of a flow that has no record was forwarded, by this
  /// instance or by one before it.
  bool IsSurelyNew(common::Fingerprint flow, PartitionIndex partition,
                   std::chrono::milliseconds now) const;

  void EraseCopy(common::Fingerprint flow, PartitionIndex partition);

  /// Where an established flow that nobody remembers is presumed to be.
  TargetSlot FallbackOf(PartitionIndex partition) const {
    return this->fallbacks.Of(partition);
  }

  /// How reluctant placement should be to make exceptions: 1 or more.
  double Reluctance(std::chrono::milliseconds now);

  std::size_t CopiesHeld() const {
    return this->store.Size() + this->unresolved.Size();
  }
  std::size_t CopiesWaiting() const;
  bool IsHandingOver() const;

 private:
  /// A flow that becomes worth a copy if it lives until then.
  struct Pending {
    common::Fingerprint flow;
    common::ServiceId service;
    std::chrono::milliseconds due{0};
  };

  void Reconcile(std::chrono::milliseconds now, Outbox& outbox);
  void ReconcileOne(PartitionIndex partition, std::chrono::milliseconds now,
                    Outbox& outbox);
  void Take(PartitionIndex partition, std::chrono::milliseconds now,
            Outbox& outbox);
  /// Takes and confirms the hand-overs that ended before this instance knew
  /// that it owns the partition.
  void AbsorbHandOvers(PartitionIndex partition, std::chrono::milliseconds now,
                       Outbox& outbox);
  void GiveUp(PartitionIndex partition, Outbox& outbox);
  void StartHandOver(PartitionIndex partition);
  /// Whether copies are held here that the destination doesn't know of.
  bool HoldsForeignWord(PartitionIndex partition,
                        const CopyDestination& destination) const;
  void UpdateStandby(PartitionIndex partition);
  std::optional<CopyDestination> DestinationOf(common::InstanceId id) const;
  common::InstanceId PreviousOf(PartitionIndex partition) const;
  void AskFor(PartitionIndex partition, common::InstanceId previous,
              std::chrono::milliseconds until);
  void AskHealed(const std::vector<common::DomainId>& healed,
                 std::chrono::milliseconds now);

  void Absorb(PartitionIndex partition, const CopySet& set,
              std::chrono::milliseconds now);
  void AbsorbAll(PartitionIndex partition, std::chrono::milliseconds now);
  void AbsorbFlow(PartitionIndex partition, const FlowException& exception,
                  std::chrono::milliseconds now);
  /// Makes records of the flows whose targets the configuration names now.
  void AbsorbResolved(PartitionIndex partition, std::chrono::milliseconds now);
  /// The target that a copy names for the flow, known here or not.
  std::optional<common::TargetId> NamedTarget(common::Fingerprint flow,
                                              PartitionIndex partition) const;
  void SettleFallback(PartitionIndex partition, std::chrono::milliseconds now);
  void FlipFallbacks(std::chrono::milliseconds now, Outbox& outbox);

  void QueueDue(std::chrono::milliseconds now);
  /// The fallback that this instance can vouch for towards a new owner; 0 when
  /// it knows none.
  common::TargetId ClaimFor(PartitionIndex partition,
                            const CopyDestination& destination) const;
  void StartDeferred(std::chrono::milliseconds now);
  void DropOldCopies(std::chrono::milliseconds now);
  void Note(PartitionIndex partition, PartitionEvent event,
            common::InstanceId other, Outbox& outbox) const;

  common::InstanceId self;
  FlowWorld& world;
  CopySender sender;
  CopyStore store;
  UnresolvedFlows unresolved;
  Fallbacks fallbacks;
  CopyGatherer gatherer;
  OwnerInquiry inquiry;
  std::deque<Pending> pending;
  std::chrono::milliseconds cleaned_at{0};
};

}  // namespace sassafrasdyke::core

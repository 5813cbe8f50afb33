/// The implementation of `Fleet`: connects documents, members, heartbeats,
/// lease and budgets of one instance.
#pragma once

#include <vector>

#include "core/fleet/call_context.h"
#include "core/fleet/document_exchange.h"
#include "core/fleet/documents_in_force.h"
#include "core/fleet/fleet.h"
#include "core/fleet/heartbeats.h"
#include "core/fleet/join_gate.h"
#include "core/fleet/lease_keeper.h"
#include "core/fleet/members.h"
#include "core/fleet/peer_plan.h"
#include "core/fleet/platform_watch.h"
#include "core/fleet/report_exchange.h"
#include "core/fleet/send_limiter.h"

namespace sassafrasdyke::core {

/// See `Fleet`.
class LiveFleet final : public Fleet {
 public:
  LiveFleet(const SelfIdentity& self, const DocumentReader& reader,
            std::uint64_t seed);

  void OnPlatformDocument(const Document& document,
                          std::chrono::milliseconds now,
                          FleetOutbox& outbox) override;
  void OnPlatformAnswer(bool reached, std::chrono::milliseconds now,
                        FleetOutbox& outbox) override;
  void OnPeerMessage(common::InstanceId from, const PeerMessage& message,
                     std::chrono::milliseconds now,
                     FleetOutbox& outbox) override;
  void OnTargetProbed(common::TargetId target, TargetHealth health,
                      std::chrono::milliseconds now,
                      FleetOutbox& outbox) override;
  void OnTick(std::chrono::milliseconds now, FleetOutbox& outbox) override;
  void OnLeave(std::chrono::milliseconds now, FleetOutbox& outbox) override;
  bool WatchesPlatform() const override;
  const InstanceList& Instances() const override;
  FleetStatus Status() const override;

 private:
  const FleetPolicy& Policy() const;
  CallContext BeginCall(std::chrono::milliseconds now, FleetOutbox& outbox);
  void EndCall(const CallContext& context);

  void Handle(const InstanceView& from, const Heartbeat& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const MemberReport& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const ReachabilityReport& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const TargetHealthChange& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const DocumentRequest& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const DocumentDelta& message,
              const CallContext& context);
  void Handle(const InstanceView& from, const DocumentCopy& message,
              const CallContext& context);

  void OnDocumentAccepted(DocumentKind kind, common::InstanceId from,
                          const CallContext& context);
  void OfferHeldConfiguration(const CallContext& context);
  bool CaughtUpWith(const std::vector<DocumentDigest>& digests) const;
  Heartbeat HeartbeatContent() const;
  std::vector<common::InstanceId> ExtraPeers(const CallContext& context);
  void ReportPeers(const CallContext& context);
  void RefuteOwnSuspicions(const CallContext& context);
  void Replan(std::chrono::milliseconds now);
  void UpdateNeighbours();
  void RefreshMembers(const CallContext& context);
  void UpdatePlatformWatch(std::chrono::milliseconds now);
  std::size_t ListedPeers() const;
  void PublishView(const CallContext& context);

  SelfIdentity self;
  DocumentsInForce documents;
  DocumentExchange exchange;
  Members members;
  ReportExchange reports;
  Heartbeats heartbeats;
  LeaseKeeper lease_keeper;
  PlatformWatch platform;
  SendLimiter limiter;
  Jitter jitter;
  PeerPlan plan;
  std::vector<common::InstanceId> link_partners;
  std::vector<common::DomainId> unreachable;
  Lease lease{Lease::kStale};
  bool leaving{false};
  bool view_due{true};
  std::chrono::milliseconds next_refutation{0};
  std::uint64_t unlisted_ignored{0};
  JoinGate join_gate;
};

}  // namespace sassafrasdyke::core

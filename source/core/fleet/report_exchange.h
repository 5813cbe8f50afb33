/// Spreads reports on members, reachability and target health by gossip, and
/// repairs lost ones by anti-entropy.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/fleet/call_context.h"
#include "core/fleet/members.h"
#include "core/fleet/reachability.h"
#include "core/fleet/target_health.h"

namespace sassafrasdyke::core {

/// The peers that reports are relayed to.
struct Neighbours {
  /// Of the own failure domain: the watched ones. All instances have the same
  /// number of watchers, so each gets a report equally often.
  std::vector<common::InstanceId> domain;
  std::vector<common::InstanceId> links;  ///< Of other failure domains.
};

/// The reports of one instance. Member reports go to the whole fleet, the
/// others stay in the failure domain.
class ReportExchange {
 public:
  /// `members` must outlive it.
  ReportExchange(common::InstanceId self, Members& members);

  void SetNeighbours(Neighbours neighbours);
  /// Drops the health of targets that `configuration` doesn't have.
  void SetConfiguration(const Configuration& configuration);

  /// Drops the reports and the repair state of unlisted instances.
  void DropUnlisted();

  /// Sends this instance's own report, which is already merged, to the
  /// neighbours.
  void Spread(const MemberReport& report, const CallContext& context);
  /// Reports whether a domain answers, if that differs from the last report.
  void ReportReachability(common::DomainId domain, bool reachable,
                          const CallContext& context);
  void OnTargetProbed(common::TargetId target, TargetHealth health,
                      const CallContext& context);

  /// Merges a peer's report and relays it if it is new here. The first overload
  /// returns whether it was new.
  bool OnReport(common::InstanceId from, const MemberReport& report,
                const CallContext& context);
  void OnReport(common::InstanceId from, const ReachabilityReport& report,
                const CallContext& context);
  void OnReport(common::InstanceId from, const TargetHealthChange& change,
                const CallContext& context);

  /// Compares a peer's hashes with the ones here. When they differ for longer
  /// than reports take to arrive, sends the peer a page of the reports here.
  void OnHashes(common::InstanceId from, bool same_domain,
                const Heartbeat& heartbeat, const CallContext& context);

  std::uint64_t MembersHash() const { return this->members.Digest(); }
  std::uint64_t DomainHash() const;
  const ReachabilityTable& Reachability() const { return this->reachability; }

 private:
  /// Progress of the repair of one peer's tables.
  struct RepairState {
    unsigned members_differ{0};
    unsigned domain_differs{0};
    MemberReportTable::Cursor members;
    ReachabilityTable::Cursor reachability;
    TargetHealthTable::Cursor health;

    /// Lets the next repair start from the latest report.
    void ResetCursors();
  };

  template <typename Report>
  void SendTo(const std::vector<common::InstanceId>& peers,
              common::InstanceId except, const Report& report,
              const CallContext& context) const;

  common::InstanceId self;
  Members& members;
  ReachabilityTable reachability;
  TargetHealthTable health;
  std::vector<common::TargetId> targets;  ///< Of the configuration, sorted.
  Neighbours neighbours;
  std::map<common::InstanceId, RepairState> repairs;
  std::chrono::milliseconds next_repair{0};
};

}  // namespace sassafrasdyke::core

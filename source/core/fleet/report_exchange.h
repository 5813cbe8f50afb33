/// Spreads words on members, reachability and target health, and heals what was
/// lost.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/fleet/members.h"
#include "core/fleet/reachability.h"
#include "core/fleet/target_health.h"
#include "core/fleet/turn.h"

namespace sassafrasdyke::core {

/// Whom reports are passed on to.
struct Neighbours {
  /// Of the own failure domain: the watched ones. Everybody has as many
  /// watchers, so everybody is told as often.
  std::vector<common::InstanceId> domain;
  std::vector<common::InstanceId> links;  ///< Of other failure domains.
};

/// The report traffic of one instance. Member reports go to the whole fleet,
/// the others stay in the failure domain.
class ReportExchange {
 public:
  /// `members` must outlive it.
  ReportExchange(common::InstanceId self, Members& members);

  void SetNeighbours(Neighbours neighbours);
  /// Forgets targets that `configuration` doesn't have.
  void SetConfiguration(const Configuration& configuration);

  /// Forgets what unlisted instances said, and how far they were healed.
  void ForgetUnlisted();

  /// Passes on what this instance itself has to say; merged already.
  void Spread(const MemberReport& report, const Turn& turn);
  /// Says whether a domain answers, if that is news.
  void SayReachable(common::DomainId domain, bool reachable, const Turn& turn);
  void OnTargetProbed(common::TargetId target, TargetHealth health,
                      const Turn& turn);

  /// Each takes a peer's report and passes it on when it is new here. The
  /// first returns whether it was.
  bool OnReport(common::InstanceId from, const MemberReport& report,
                const Turn& turn);
  void OnReport(common::InstanceId from, const ReachabilityReport& report,
                const Turn& turn);
  void OnReport(common::InstanceId from, const TargetHealthChange& change,
                const Turn& turn);

  /// Compares a peer's hashes with the ones here; when they differ for longer
  /// than reports take to arrive, sends the peer a page of what is here.
  void OnHashes(common::InstanceId from, bool same_domain,
                const Heartbeat& heartbeat, const Turn& turn);

  std::uint64_t MembersHash() const { return this->members.Digest(); }
  std::uint64_t DomainHash() const;
  const ReachabilityTable& Reachability() const { return this->reachability; }

 private:
  /// How far the tables of one peer have been healed.
  struct Healing {
    unsigned members_differ{0};
    unsigned domain_differs{0};
    MemberReportTable::Cursor members;
    ReachabilityTable::Cursor reachability;
    TargetHealthTable::Cursor health;

    /// Starts again from the latest report when something is lost next.
    void ForgetPages();
  };

  template <typename Report>
  void SendTo(const std::vector<common::InstanceId>& peers,
              common::InstanceId except, const Report& report,
              const Turn& turn) const;

  common::InstanceId self;
  Members& members;
  ReachabilityTable reachability;
  TargetHealthTable health;
  std::vector<common::TargetId> targets;  ///< Of the configuration, sorted.
  Neighbours neighbours;
  std::map<common::InstanceId, Healing> healing;
  std::chrono::milliseconds next_healing{0};
};

}  // namespace sassafrasdyke::core

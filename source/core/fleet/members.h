/// The members of the fleet and how each may be used: as an owner, while
/// leaving, or not at all while suspected.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "core/configuration.h"
#include "core/fleet/flap_damper.h"
#include "core/fleet/fleet.h"
#include "core/fleet/member_reports.h"
#include "core/fleet_view.h"
#include "core/messages.h"

namespace sassafrasdyke::core {

/// Combines the published instance list, which lags behind, with the member
/// reports.
class Members {
 public:
  explicit Members(const SelfIdentity& self);

  /// Sets a newer list and drops reports on or from unlisted instances and on
  /// incarnations older than the listed one.
  void SetList(const InstanceList& list);

  /// Sets how many peers watch each instance.
  void SetWatchers(std::size_t watchers);

  /// Merges a report. True when it was new and should be relayed.
  bool Merge(const MemberReport& report);

  /// Makes this instance's next report on `about` and merges it.
  MemberReport IssueReport(common::InstanceId about, MemberState state);

  /// Reports on this instance itself if others suspect it or still know only an
  /// earlier incarnation; nothing if there is nothing to refute.
  std::optional<MemberReport> RefuteSuspicions();

  /// True when this instance's own suspicion of `about` is active.
  bool Suspects(common::InstanceId about) const;

  /// Recomputes the views at `now` and appends the changes to `decisions`. True
  /// when any view changed.
  bool Refresh(std::chrono::milliseconds now,
               std::vector<FleetDecision>& decisions);

  /// All members including this instance, sorted by id.
  const std::vector<InstanceView>& Views() const { return this->views; }
  const InstanceView* Find(common::InstanceId id) const;
  /// True when the published list names the instance.
  bool Listed(common::InstanceId id) const;
  const SuspectingInstances* SuspectingInstancesOf(common::InstanceId id) const;

  std::uint64_t Digest() const { return this->reports.Digest(); }
  std::vector<MemberReport> Page(MemberReportTable::Cursor& cursor,
                                 std::size_t count) const {
    return this->reports.Page(cursor, count);
  }

 private:
  std::vector<InstanceView> ComputeViews(const Suspicions& suspicions,
                                         std::chrono::milliseconds now);
  InstanceUse UseOf(const Instance& instance, bool suspected) const;
  void AddSelf(std::vector<InstanceView>& views) const;
  void LogChanges(const std::vector<InstanceView>& next,
                  const Suspicions& suspicions,
                  std::vector<FleetDecision>& decisions) const;

  SelfIdentity self;
  InstanceList list;
  MemberReportTable reports;
  FlapDamper damper;
  Suspicions suspicions;
  std::vector<InstanceView> views;
  std::size_t watchers{FleetPolicy{}.watchers};
  bool dirty{true};
};

}  // namespace sassafrasdyke::core

/// Who is in the fleet and what each instance is good for.
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

/// Joins the published list, which lags, with everybody's words.
class Members {
 public:
  explicit Members(const SelfIdentity& self);

  /// Takes a newer list; words on unlisted instances are forgotten.
  void SetList(const InstanceList& list);

  /// Takes how many peers watch each instance.
  void SetWatchers(std::size_t watchers);

  /// Takes a report. True when it is new here and shall be passed on.
  bool Merge(const MemberReport& report);

  /// What this instance has to say about `about` now; merged already.
  MemberReport Say(common::InstanceId about, MemberWord word);

  /// This instance's answer to a suspicion of itself, or to words of an earlier
  /// life that the list still names; nothing when there is nothing to answer.
  std::optional<MemberReport> AnswerSuspicions();

  /// True when a suspicion by this instance holds against `about`.
  bool Suspects(common::InstanceId about) const;

  /// Judges again at `now` and appends what changed. True when any view did.
  bool Refresh(std::chrono::milliseconds now,
               std::vector<FleetDecision>& decisions);

  /// Everyone, this instance included, sorted by id.
  const std::vector<InstanceView>& Views() const { return this->views; }
  const InstanceView* Find(common::InstanceId id) const;
  /// True when the published list names the instance.
  bool Listed(common::InstanceId id) const;
  const Accusers* AccusersOf(common::InstanceId id) const;

  std::uint64_t Digest() const { return this->reports.Digest(); }
  std::vector<MemberReport> Page(MemberReportTable::Cursor& cursor,
                                 std::size_t count) const {
    return this->reports.Page(cursor, count);
  }

 private:
  std::vector<InstanceView> Judged(const MemberVerdicts& verdicts,
                                   std::chrono::milliseconds now);
  InstanceUse UseOf(const Instance& instance, bool suspected) const;
  void AddSelf(std::vector<InstanceView>& views) const;
  void LogChanges(const std::vector<InstanceView>& next,
                  const MemberVerdicts& verdicts,
                  std::vector<FleetDecision>& decisions) const;

  SelfIdentity self;
  InstanceList list;
  MemberReportTable reports;
  FlapDamper damper;
  MemberVerdicts verdicts;
  std::vector<InstanceView> views;
  std::size_t watchers{FleetPolicy{}.watchers};
  bool dirty{true};
};

}  // namespace sassafrasdyke::core

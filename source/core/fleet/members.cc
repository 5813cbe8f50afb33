#include "core/fleet/members.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

bool IdLess(const InstanceView& view, common::InstanceId id) {
  return view.id.value < id.value;
}

bool Same(const InstanceView& left, const InstanceView& right) {
  return left.id == right.id && left.domain == right.domain &&
         left.incarnation == right.incarnation && left.use == right.use &&
         left.tunnel == right.tunnel;
}

const InstanceView* FindView(const std::vector<InstanceView>& views,
                             common::InstanceId id) {
  const auto found = std::lower_bound(views.begin(), views.end(), id, IdLess);
  return found != views.end() && found->id == id ? &*found : nullptr;
}

}  // namespace

Members::Members(const SelfIdentity& self) : self(self) {
  this->AddSelf(this->views);
}

void Members::SetList(const InstanceList& list) {
  this->list = list;
  this->reports.EraseIf([this](const MemberReport& report) {
    return !ConcernsListed(this->list, report);
  });
  // Thousands of instances are replaced in a day, under new ids; whatever is
  // kept of the old ones would fill the memory over weeks.
  this->damper.KeepOnly(
      [this](common::InstanceId id) { return this->Listed(id); });
  this->dirty = true;
}

void Members::SetWatchers(std::size_t watchers) {
  this->dirty = this->dirty || watchers != this->watchers;
  this->watchers = watchers;
}

bool Members::Merge(const MemberReport& report) {
  if (!ConcernsListed(this->list, report) || !this->reports.Merge(report)) {
    return false;
  }
  this->dirty = true;
  return true;
}

MemberReport Members::IssueReport(common::InstanceId about, MemberState state) {
  MemberReport report;
  report.about = about;
  report.by = this->self.id;
  report.state = state;
  const Instance* listed = FindInstance(this->list, about);
  const bool of_self = about == this->self.id;
  if (of_self) {
    report.incarnation = this->self.incarnation;
  } else if (listed != nullptr) {
    report.incarnation = CurrentIncarnation(*listed, this->reports);
  }
  const MemberReport* last = this->reports.Find({about, this->self.id});
  report.version = last == nullptr ? 1 : last->version + 1;
  const MemberReport* own = this->reports.Find({about, about});
  if (!of_self && own != nullptr && own->incarnation == report.incarnation) {
    report.self_report_version = own->version;
  }
  this->Merge(report);
  return report;
}

std::optional<MemberReport> Members::RefuteSuspicions() {
  const Instance* listed = FindInstance(this->list, this->self.id);
  if (listed == nullptr) {
    return std::nullopt;
  }
  const common::Incarnation known = CurrentIncarnation(*listed, this->reports);
  // The list still names the previous incarnation. Until it is updated, peers
  // would apply suspicions of that incarnation to this one.
  const bool outdated = known.value < this->self.incarnation.value;
  if (!outdated && !this->suspicions.active.contains(this->self.id)) {
    return std::nullopt;
  }
  const MemberReport* last = this->reports.Find({this->self.id, this->self.id});
  const bool leaving = last != nullptr &&
                       last->state == MemberState::kLeaving &&
                       last->incarnation == this->self.incarnation;
  return this->IssueReport(
      this->self.id, leaving ? MemberState::kLeaving : MemberState::kAlive);
}

bool Members::Suspects(common::InstanceId about) const {
  const SuspectingInstances* suspecting = this->SuspectingInstancesOf(about);
  return suspecting != nullptr &&
         std::find(suspecting->begin(), suspecting->end(), this->self.id) !=
             suspecting->end();
}

bool Members::Refresh(std::chrono::milliseconds now,
                      std::vector<FleetDecision>& decisions) {
  if (!this->dirty && !this->damper.HasHistory()) {
    return false;
  }
  if (this->dirty) {
    this->suspicions =
        EvaluateSuspicions(this->list, this->reports, this->watchers);
    this->dirty = false;
  }
  std::vector<InstanceView> next = this->ComputeViews(this->suspicions, now);
  if (std::equal(next.begin(), next.end(), this->views.begin(),
                 this->views.end(), Same)) {
    return false;
  }
  this->LogChanges(next, this->suspicions, decisions);
  this->views = std::move(next);
  return true;
}

const InstanceView* Members::Find(common::InstanceId id) const {
  return FindView(this->views, id);
}

bool Members::Listed(common::InstanceId id) const {
  return FindInstance(this->list, id) != nullptr;
}

const SuspectingInstances* Members::SuspectingInstancesOf(
    common::InstanceId id) const {
  const auto found = this->suspicions.active.find(id);
  return found == this->suspicions.active.end() ? nullptr : &found->second;
}

std::vector<InstanceView> Members::ComputeViews(const Suspicions& suspicions,
                                                std::chrono::milliseconds now) {
  std::vector<InstanceView> computed;
  for (const Instance& instance : this->list.instances) {
    const bool suspected = this->damper.UpdateSuppression(
        instance.id, suspicions.confirmed.contains(instance.id), now);
    computed.push_back({instance.id, instance.domain,
                        CurrentIncarnation(instance, this->reports),
                        instance.tunnel, this->UseOf(instance, suspected)});
  }
  this->AddSelf(computed);
  return computed;
}

InstanceUse Members::UseOf(const Instance& instance, bool suspected) const {
  if (suspected) {
    return InstanceUse::kSuspected;
  }
  const common::Incarnation current =
      CurrentIncarnation(instance, this->reports);
  // This process was replaced and hasn't been stopped. Its successor owns the
  // partitions; two owners under one id would each place the same flows.
  const bool replaced = instance.id == this->self.id &&
                        current.value > this->self.incarnation.value;
  const MemberReport* own = this->reports.Find({instance.id, instance.id});
  const bool reported = own != nullptr && own->incarnation == current &&
                        own->state == MemberState::kLeaving;
  const bool published = instance.state == InstanceState::kLeaving &&
                         instance.incarnation == current;
  return replaced || reported || published ? InstanceUse::kLeaving
                                           : InstanceUse::kOwner;
}

void Members::AddSelf(std::vector<InstanceView>& views) const {
  if (FindView(views, this->self.id) != nullptr) {
    return;
  }
  // A new instance runs before it is listed, and its peers don't count it as an
  // owner yet. If it counted itself, two instances would own the same flows.
  const auto place =
      std::lower_bound(views.begin(), views.end(), this->self.id, IdLess);
  views.insert(place, {this->self.id,
                       this->self.domain,
                       this->self.incarnation,
                       {},
                       InstanceUse::kLeaving});
}

void Members::LogChanges(const std::vector<InstanceView>& next,
                         const Suspicions& suspicions,
                         std::vector<FleetDecision>& decisions) const {
  for (const InstanceView& view : next) {
    const InstanceView* before = this->Find(view.id);
    const bool expected = before == nullptr && view.use == InstanceUse::kOwner;
    if (expected || (before != nullptr && before->use == view.use)) {
      continue;
    }
    MemberChanged changed{view.id, view.use, {}};
    if (const auto confirmed = suspicions.confirmed.find(view.id);
        confirmed != suspicions.confirmed.end()) {
      changed.confirmed_by = confirmed->second;
    }
    decisions.emplace_back(std::move(changed));
  }
}

}  // namespace sassafrasdyke::core

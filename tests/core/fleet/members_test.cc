/// Confirmation of suspicions, member reports, flap damping and peer plans.
#include "core/fleet/members.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>
#include <set>

#include "core/fleet/flap_damper.h"
#include "core/fleet/member_reports.h"
#include "core/fleet/peer_plan.h"
#include "core/fleet/rendezvous.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

InstanceList ListOf(std::uint32_t count, std::uint32_t domains = 1) {
  InstanceList list;
  for (std::uint32_t id = 1; id <= count; ++id) {
    Instance instance;
    instance.id.value = id;
    instance.domain.value = 1 + (id - 1) % domains;
    instance.incarnation.value = 1;
    list.instances.push_back(instance);
  }
  return list;
}

MemberReport Suspicion(std::uint32_t about, std::uint32_t by,
                       std::uint64_t self_report_version = 0,
                       std::uint64_t incarnation = 1) {
  return {{about}, {incarnation},       {by},
          1,       self_report_version, MemberState::kSuspected};
}

MemberReport SelfReport(std::uint32_t id, std::uint64_t version,
                        MemberState state = MemberState::kAlive,
                        std::uint64_t incarnation = 1) {
  return {{id}, {incarnation}, {id}, version, 0, state};
}

struct SuspicionCase {
  const char* name;
  std::uint32_t instances;
  std::vector<MemberReport> reports;
  std::set<std::uint32_t> confirmed;
  std::size_t watchers{3};
};

std::ostream& operator<<(std::ostream& out, const SuspicionCase& row) {
  return out << row.name;
}

const SuspicionCase kSuspicionCases[] = {
    {"nobody says anything", 5, {}, {}},
    {"one watcher is not enough", 5, {Suspicion(2, 1)}, {}},
    {"two watchers are", 5, {Suspicion(2, 1), Suspicion(2, 3)}, {2}},
    {"its own newer word outweighs both",
     5,
     {Suspicion(2, 1), Suspicion(2, 3), SelfReport(2, 1)},
     {}},
    {"suspicions after its own word count again",
     5,
     {Suspicion(2, 1, 1), Suspicion(2, 3, 1), SelfReport(2, 1)},
     {2}},
    {"a new life answers for the old one",
     5,
     {Suspicion(2, 1), Suspicion(2, 3),
      SelfReport(2, 1, MemberState::kAlive, 2)},
     {}},
    {"the only published watcher is enough", 5, {Suspicion(2, 1)}, {2}, 1},
    {"the only other one is believed", 2, {Suspicion(2, 1)}, {2}},
    {"the last witness of three is believed",
     3,
     {Suspicion(2, 1), Suspicion(3, 1)},
     {2, 3}},
    {"a lone accuser that two accuse is not believed",
     3,
     {Suspicion(1, 2), Suspicion(1, 3), Suspicion(2, 1), Suspicion(3, 1)},
     {1}},
};

// Ownership moves only on a confirmed suspicion. If it is confirmed too easily,
// healthy owners lose their flows; if too late, callers' packets go to a dead
// owner.
BOOST_DATA_TEST_CASE(confirms_suspicions, kSuspicionCases, row) {
  MemberReportTable table;
  for (const MemberReport& report : row.reports) {
    table.Merge(report);
  }

  const Suspicions suspicions =
      EvaluateSuspicions(ListOf(row.instances), table, row.watchers);

  std::set<std::uint32_t> confirmed;
  for (const auto& [about, by] : suspicions.confirmed) {
    confirmed.insert(about.value);
  }
  BOOST_TEST(confirmed == row.confirmed, boost::test_tools::per_element());
}

// Reports reach instances over different paths, in different orders and twice.
// If the order mattered, two instances would disagree on an owner for good.
BOOST_DATA_TEST_CASE(the_order_of_reports_does_not_matter,
                     boost::unit_test::data::xrange(50), seed) {
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  const InstanceList list = ListOf(6);
  std::vector<MemberReport> reports;
  for (int i = 0; i < 40; ++i) {
    MemberReport report;
    report.about.value = 1 + static_cast<std::uint32_t>(random() % 6);
    report.by.value = 1 + static_cast<std::uint32_t>(random() % 6);
    report.incarnation.value = 1 + random() % 2;
    report.version = random() % 4;
    report.self_report_version = random() % 3;
    report.state = static_cast<MemberState>(random() % 3);
    reports.push_back(report);
  }
  MemberReportTable left;
  MemberReportTable right;
  for (const MemberReport& report : reports) {
    left.Merge(report);
  }
  std::shuffle(reports.begin(), reports.end(), random);
  for (const MemberReport& report : reports) {
    right.Merge(report);
    right.Merge(report);
  }

  BOOST_TEST(left.Digest() == right.Digest());
  BOOST_TEST((left.All() == right.All()));
  BOOST_TEST((EvaluateSuspicions(list, left, 3).confirmed ==
              EvaluateSuspicions(list, right, 3).confirmed));
}

// Paging through the table must reach every record, latest first; otherwise
// anti-entropy would never repair some of them.
BOOST_AUTO_TEST_CASE(pages_cover_the_table_and_start_again) {
  MemberReportTable table;
  for (std::uint32_t id = 1; id <= 10; ++id) {
    table.Merge(SelfReport(id, 1));
  }
  MemberReportTable::Cursor cursor;

  BOOST_TEST(table.Page(cursor, 7).front().about.value == 10U);
  BOOST_TEST(table.Page(cursor, 7).size() == 3U);
  BOOST_TEST(!cursor.has_value());
  table.Merge(SelfReport(4, 2));
  BOOST_TEST(table.Page(cursor, 7).front().about.value == 4U);
  BOOST_TEST(table.Page(cursor, 100).size() == 3U);
}

// A new list drops an instance or names its next incarnation. Reports on the
// old one must be dropped, or an old suspicion would apply to the new one.
BOOST_AUTO_TEST_CASE(reports_on_unlisted_incarnations_are_dropped) {
  Members members({{1}, {1}, {1}});
  members.SetList(ListOf(4));
  BOOST_TEST(members.Merge(Suspicion(2, 3)));
  BOOST_TEST(members.Merge(Suspicion(4, 3)));
  InstanceList next = ListOf(3);
  next.instances[1].incarnation.value = 2;

  members.SetList(next);

  BOOST_TEST(members.Digest() == 0U);
  BOOST_TEST(!members.Merge(Suspicion(2, 3)));
  BOOST_TEST(!members.Merge(Suspicion(4, 3)));
}

// A process was replaced but not stopped, and the list names a later
// incarnation of its id. If it stayed an owner, a flow could be placed twice.
BOOST_AUTO_TEST_CASE(a_replaced_process_owns_nothing) {
  Members members({{2}, {1}, {1}});
  InstanceList list = ListOf(4);
  list.instances[1].incarnation.value = 2;
  members.SetList(list);
  std::vector<FleetDecision> decisions;

  members.Refresh(0ms, decisions);

  BOOST_TEST((members.Find({2})->use == InstanceUse::kLeaving));
  BOOST_TEST((members.Find({1})->use == InstanceUse::kOwner));
}

// An instance is suspected and returns repeatedly. Each time it must wait
// longer before it owns partitions again, until enough time without suspicion
// has passed.
BOOST_AUTO_TEST_CASE(each_return_is_suppressed_longer_until_quiet) {
  FlapDamper damper({.first = 1s, .longest = 4s, .forgive_after = 60s});
  std::chrono::milliseconds now = 0ms;
  for (const auto needed : {1s, 2s, 4s, 4s}) {
    BOOST_TEST(damper.UpdateSuppression({2}, true, now));
    now += 100ms;
    BOOST_TEST(damper.UpdateSuppression({2}, false, now));
    BOOST_TEST(damper.UpdateSuppression({2}, false, now + needed - 1ms));
    BOOST_TEST(!damper.UpdateSuppression({2}, false, now + needed));
    now += needed;
  }
  for (int minute = 0; minute < 5; ++minute) {
    now += 60s;
    BOOST_TEST(!damper.UpdateSuppression({2}, false, now));
  }
  BOOST_TEST(!damper.HasHistory());
}

std::vector<InstanceView> ViewsOf(const InstanceList& list) {
  std::vector<InstanceView> views;
  for (const Instance& instance : list.instances) {
    views.push_back({instance.id, instance.domain, instance.incarnation,
                     instance.tunnel, InstanceUse::kOwner});
  }
  return views;
}

struct PlanShape {
  std::uint32_t instances;
  std::uint32_t domains;
};

std::ostream& operator<<(std::ostream& out, const PlanShape& row) {
  return out << row.instances << " in " << row.domains;
}

const PlanShape kPlanShapes[] = {{1, 1}, {2, 1}, {7, 3}, {64, 1}, {116, 7}};

// Each instance computes its plan alone. If the plans were inconsistent, some
// instance would have no watcher and its death would go undetected.
BOOST_DATA_TEST_CASE(plans_of_all_instances_are_consistent, kPlanShapes, row) {
  const InstanceList list = ListOf(row.instances, row.domains);
  const std::vector<InstanceView> views = ViewsOf(list);
  const FleetPolicy policy;
  std::map<common::InstanceId, std::size_t> watchers;
  std::map<common::DomainId, std::size_t> readers;
  std::size_t links = 0;
  for (const Instance& instance : list.instances) {
    const PeerPlan plan =
        MakePeerPlan({instance.id, instance.domain, {1}}, views, policy);
    for (const common::InstanceId watched : plan.watched) {
      ++watchers[watched];
    }
    readers[instance.domain] += plan.reader ? 1 : 0;
    links += plan.links.size();
  }

  for (const Instance& instance : list.instances) {
    const auto peers = static_cast<std::size_t>(std::count_if(
        list.instances.begin(), list.instances.end(), [&](const Instance& it) {
          return it.domain == instance.domain && it.id != instance.id;
        }));
    BOOST_TEST(watchers[instance.id] ==
               std::min<std::size_t>(policy.watchers, peers));
    BOOST_TEST(readers[instance.domain] ==
               std::min<std::size_t>(policy.readers_per_domain, peers + 1));
  }
  BOOST_TEST(links <= kLinksPerDomain * row.domains * (row.domains - 1));
}

// One of many instances dies. The other instances' watchers should stay the
// same, because each change costs new connections just after a failure.
BOOST_AUTO_TEST_CASE(a_death_changes_few_watchers) {
  std::vector<common::InstanceId> all;
  for (std::uint32_t id = 1; id <= 100; ++id) {
    all.push_back({id});
  }
  std::vector<common::InstanceId> left = all;
  left.erase(left.begin() + 49);
  int moved = 0;
  for (std::uint64_t key = 0; key < 100; ++key) {
    moved += Choose(all, ChosenRole::kWatcher, key, 3) ==
                     Choose(left, ChosenRole::kWatcher, key, 3)
                 ? 0
                 : 1;
  }

  BOOST_TEST(moved <= 10);
}

}  // namespace
}  // namespace sassafrasdyke::core

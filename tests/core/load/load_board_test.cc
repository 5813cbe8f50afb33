/// Tests what one instance makes of its own measurement and of the reports that
/// it receives, early, late, twice, wrong or not at all.
#include "core/load/load_board.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>

#include "core/load/load_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

common::Endpoint Peer(std::uint32_t number) {
  return {common::IpAddress::FromV4(0x0A000000U + number), 7720};
}

PeerObservations Own(milliseconds sent_at, const LoadReport& report) {
  PeerObservations observations;
  observations.sent_at = sent_at;
  observations.own = report;
  return observations;
}

PeerObservations Relayed(milliseconds sent_at, const DomainReport& report) {
  PeerObservations observations;
  observations.sent_at = sent_at;
  observations.domains = {report};
  return observations;
}

/// A report of the callers of a domain at the targets of `north`.
DomainReport DomainsReport(const std::string& domain, milliseconds age,
                           double rate, std::size_t reporters = 5) {
  return {domain, 20, reporters, age, ReportOf(rate, rate * 0.03)};
}

/// A scene in which the instance has 100 requests per second and the domain
/// "south" reports none, so that the load is known.
struct Scene : LoadScene {
  explicit Scene(unsigned requests = 10) {
    this->Run(1500ms, requests);
    this->Hear(Peer(50), "south", Relayed(1ms, {"south", 20, 20, 0ms, {}}));
    this->Tick();
  }
  void Hear(const common::Endpoint& sender, const std::string& domain,
            const PeerObservations& observations) {
    this->board.OnObservations(sender, domain, observations, this->now);
  }
  void Tick(std::size_t instances = 10) {
    this->board.OnTick(this->now, instances);
  }
};

BOOST_AUTO_TEST_CASE(nothing_is_known_without_reports_of_others) {
  LoadScene scene;
  scene.Run(2s, 10);

  BOOST_TEST(scene.board.Of("diary").empty());
  BOOST_TEST(scene.board.Totals().size() == 1U);
  BOOST_TEST(*scene.board.DomainInstances() == 10U);
}

// Guards against a load that leaves out callers of other domains, or that takes
// a report of one instance for that of its domain.
BOOST_AUTO_TEST_CASE(the_load_is_summed_over_all_callers) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, ReportOf(50, 1.5)));
  scene.Hear(Peer(60), "west", Relayed(1ms, DomainsReport("west", 300ms, 30)));
  scene.Tick();

  const DomainLoad north = scene.At("north");
  BOOST_TEST(north.requests_per_s == 75.0 * 10 + 30.0 * 20);
  BOOST_TEST(north.concurrency == 75.0 * 0.03 * 10 + 0.9 * 20,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST((north.age == 300ms));
  BOOST_TEST(north.reporters == 2U + 5U);
  BOOST_TEST(scene.At("south").requests_per_s == 0.0);
  BOOST_TEST(scene.board.Of("unknown").size() == 3U);
}

// An instance that has not seen an answer lately must not lower the mean.
BOOST_AUTO_TEST_CASE(reports_without_times_take_those_of_others) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, ReportOf(100, 0)));
  scene.Tick();

  BOOST_TEST(scene.At("north").concurrency == 30.0,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(the_last_report_of_a_dead_instance_expires) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, ReportOf(110, 3.3)));
  scene.Run(2500ms, 10);
  BOOST_TEST(scene.At("north").reporters == 2U);
  scene.Run(100ms, 10);

  BOOST_TEST(scene.At("north").reporters == 1U);
  BOOST_TEST(scene.At("north").requests_per_s == 1000.0);
}

BOOST_AUTO_TEST_CASE(a_partitioned_domain_is_unreachable_and_expires) {
  Scene scene;
  scene.Hear(Peer(60), "west", {});
  for (milliseconds time = 0ms; time < 1500ms; time += 100ms) {
    scene.Hear(Peer(1), "north", {});
    scene.Run(100ms, 10);
  }
  BOOST_TEST(scene.At("south").reachable);
  BOOST_TEST(scene.board.TakeChanges().empty());
  for (milliseconds time = 0ms; time < 2500ms; time += 100ms) {
    scene.Hear(Peer(1), "north", {});
    scene.Run(100ms, 10);
    BOOST_TEST(!scene.At("south").reachable);
    BOOST_TEST(scene.At("north").reachable);
  }
  const auto changes = scene.board.TakeChanges();
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[0].domain == "south");
  scene.Hear(Peer(1), "north", {});
  scene.Run(100ms, 10);
  BOOST_TEST(scene.board.Of("diary").empty());

  scene.Hear(Peer(50), "south", Relayed(5s, DomainsReport("south", 0ms, 1)));
  scene.Tick();
  BOOST_TEST(scene.At("south").reachable);
  BOOST_REQUIRE(scene.board.TakeChanges().size() == 1U);
}

// An instance whose own link is cut must not take all others for partitioned.
BOOST_AUTO_TEST_CASE(an_instance_that_hears_nobody_doubts_its_own_link) {
  Scene scene;
  scene.Run(3s, 10);

  BOOST_TEST(scene.At("south").reachable);
  BOOST_TEST(scene.board.TakeChanges().empty());
}

BOOST_AUTO_TEST_CASE(a_domain_heard_through_others_is_reachable) {
  Scene scene;
  scene.Run(2s, 10);
  PeerObservations observations;
  observations.sent_at = 2s;
  observations.heard = {{"south", 1400ms}, {"west", 1600ms}, {"north", 0ms}};
  scene.Hear(Peer(1), "north", observations);
  scene.Tick();

  BOOST_TEST(scene.At("south").reachable);
  BOOST_TEST(!scene.At("west").reachable);
}

struct Invalid {
  const char* what;
  LoadReport report;
};

std::ostream& operator<<(std::ostream& out, const Invalid& row) {
  return out << row.what;
}

const double kNaN = std::numeric_limits<double>::quiet_NaN();
const double kInfinity = std::numeric_limits<double>::infinity();
const Invalid kInvalid[] = {
    {"negative", ReportOf(-1, 1)},
    {"negative concurrency", ReportOf(1, -0.1)},
    {"not a number", ReportOf(kNaN, 1)},
    {"infinite", ReportOf(1, kInfinity)},
    {"over 10^6", ReportOf(1.1e6, 1)},
    {"no domain", ReportOf(1, 1, "")},
    {"long domain", ReportOf(1, 1, std::string(65, 'x'))},
    {"too many entries",
     {std::vector<LoadEntry>(17, ReportOf(1, 1).entries.front())}}};

BOOST_DATA_TEST_CASE(invalid_reports_are_discarded_and_counted, kInvalid, row) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, row.report));
  scene.Hear(Peer(60), "west", Relayed(1ms, {"west", 20, 20, 0ms, row.report}));
  scene.Tick();

  BOOST_TEST(scene.board.InvalidReports() == 2U);
  BOOST_TEST(scene.At("north").reporters == 1U);
  BOOST_TEST(scene.At("north").requests_per_s == 1000.0);
}

BOOST_AUTO_TEST_CASE(unreadable_reports_are_counted) {
  Scene scene;
  PeerObservations unreadable;
  unreadable.unreadable = true;
  scene.Hear(Peer(60), "west", unreadable);
  scene.Hear(Peer(60), "west", Relayed(1ms, {"west", 0, 1, 0ms, {}}));

  BOOST_TEST(scene.board.InvalidReports() == 2U);
}

// Guards against a duplicate that keeps the report of a dead instance, and a
// delayed one that replaces a newer report or counts a second time.
BOOST_AUTO_TEST_CASE(delayed_and_duplicated_digests_change_nothing) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(300ms, ReportOf(80, 2)));
  scene.Hear(Peer(1), "north", Own(300ms, ReportOf(80, 2)));
  scene.Hear(Peer(1), "north", Own(200ms, ReportOf(400, 2)));
  scene.Tick();
  BOOST_TEST(scene.At("north").reporters == 2U);
  BOOST_TEST(scene.At("north").requests_per_s == 900.0);

  scene.Run(2400ms, 10);
  scene.Hear(Peer(1), "north", Own(300ms, ReportOf(80, 2)));
  scene.Run(200ms, 10);
  BOOST_TEST(scene.At("north").reporters == 1U);
}

struct Rivals {
  const char* what;
  DomainReport kept;
  DomainReport next;
  double expected;  ///< Rate of the one that counts.
};

std::ostream& operator<<(std::ostream& out, const Rivals& row) {
  return out << row.what;
}

const Rivals kRivals[] = {
    {"the newer one", DomainsReport("west", 900ms, 1, 9),
     DomainsReport("west", 500ms, 2, 1), 2},
    {"not the older one", DomainsReport("west", 500ms, 1, 1),
     DomainsReport("west", 900ms, 2, 9), 1},
    {"of one age, more reporters", DomainsReport("west", 500ms, 1, 3),
     DomainsReport("west", 700ms, 2, 9), 2},
    {"of one age, not fewer reporters", DomainsReport("west", 500ms, 1, 9),
     DomainsReport("west", 300ms, 2, 3), 1},
    {"not one too old", DomainsReport("west", 4000ms, 1, 3),
     DomainsReport("west", 4100ms, 2, 9), 1}};

BOOST_DATA_TEST_CASE(of_two_reports_of_another_domain_one_counts, kRivals,
                     row) {
  Scene scene(0);
  scene.Hear(Peer(60), "west", Relayed(1ms, row.kept));
  scene.Hear(Peer(61), "west", Relayed(1ms, row.next));
  scene.Tick();

  BOOST_TEST(scene.At("north").requests_per_s == row.expected * 20);
}

// The age grows while a report is held, also at those who pass it on.
BOOST_AUTO_TEST_CASE(the_age_includes_the_time_held) {
  Scene scene(0);
  scene.Hear(Peer(60), "west", Relayed(1ms, DomainsReport("west", 700ms, 1)));
  scene.Run(2s, 0);
  PeerObservations sent;
  scene.board.Append(sent, scene.now + 50ms);

  BOOST_TEST((scene.At("north").age == 2700ms));
  BOOST_REQUIRE(sent.domains.size() == 3U);
  BOOST_TEST((sent.domains[2].age == 2750ms));
}

struct OwnDomain {
  milliseconds age;
  double expected;  ///< Rate of an instance; the own one has 100.
};

std::ostream& operator<<(std::ostream& out, const OwnDomain& row) {
  return out << "relayed after " << row.age.count() << " ms";
}

// Four reporters count as more than two for a second.
const OwnDomain kOwnDomain[] = {{0ms, 90}, {900ms, 90}, {1100ms, 95}};

BOOST_DATA_TEST_CASE(the_own_domains_report_is_that_of_most_reporters,
                     kOwnDomain, row) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, ReportOf(90, 2.7)));
  scene.Hear(Peer(2), "north",
             Relayed(1ms, DomainsReport("north", row.age, 90, 4)));
  scene.Tick();

  BOOST_TEST(scene.At("north").requests_per_s == row.expected * 10);
}

// Instances know different numbers of members; each multiplies its own domain's
// mean by its own number, and that of others by the reported one.
BOOST_AUTO_TEST_CASE(the_own_roster_decides_the_own_domains_size) {
  Scene scene;
  scene.Hear(Peer(2), "north", Relayed(1ms, DomainsReport("north", 0ms, 90)));
  scene.Hear(Peer(60), "west", Relayed(1ms, DomainsReport("west", 0ms, 30)));
  scene.Tick(7);

  BOOST_TEST(scene.At("north").requests_per_s == 90.0 * 7 + 30.0 * 20);
  BOOST_TEST(*scene.board.DomainInstances() == 7U);
}

BOOST_AUTO_TEST_CASE(after_a_pause_the_own_measurement_does_not_count) {
  Scene scene;
  scene.Hear(Peer(1), "north", Own(1ms, ReportOf(60, 1.8)));
  scene.meter.OnPause(scene.now);
  scene.Tick();
  PeerObservations sent;
  scene.board.Append(sent, scene.now);

  BOOST_TEST(scene.At("north").requests_per_s == 600.0);
  BOOST_TEST(!sent.own.has_value());
}

struct PauseLength {
  milliseconds length;
  bool discards;
  /// Whether the last digest before the pause was read under 1.5 s before.
  bool reachable;
};

std::ostream& operator<<(std::ostream& out, const PauseLength& row) {
  return out << row.length.count() << " ms";
}

const PauseLength kPauses[] = {{999ms, false, true},
                               {1s, true, true},
                               {1300ms, true, false},
                               {10s, true, false}};

// Guards against digests that waited in the socket: until its reports expired,
// the resumed instance would take a domain that was partitioned meanwhile for
// reachable and place flows there.
BOOST_DATA_TEST_CASE(digests_from_before_a_pause_do_not_count, kPauses, row) {
  Scene scene;
  PeerObservations of_north = Own(1ms, ReportOf(60, 1.8));
  of_north.heard = {{"south", 0ms}};
  scene.now += row.length;
  scene.meter.OnPause(scene.now);
  scene.board.OnPause(row.length, scene.now);
  for (milliseconds time = 0ms; time <= 200ms; time += 100ms) {
    scene.Hear(Peer(1), "north", of_north);
    scene.Hear(Peer(50), "south",
               Relayed(1ms + time, DomainsReport("south", 0ms, 30)));
    scene.Tick();
    BOOST_TEST(scene.board.Of("diary").empty() == row.discards);
    scene.now += 100ms;
  }

  scene.Hear(Peer(1), "north", Own(row.length, ReportOf(60, 1.8)));
  scene.Hear(Peer(60), "west", Relayed(1ms, DomainsReport("west", 0ms, 30)));
  scene.Tick();
  BOOST_TEST(scene.At("west").reachable);
  BOOST_TEST(scene.At("south").reachable == row.reachable);
  BOOST_TEST(scene.At("north").callers_requests_per_s.value() == 600.0);
}

struct Burst {
  unsigned requests_per_100ms;
  bool detected;
};

std::ostream& operator<<(std::ostream& out, const Burst& row) {
  return out << row.requests_per_100ms << " requests in 100 ms";
}

// Of 50 requests that the mean predicts in half a second, three standard
// deviations are 21.
const Burst kBursts[] = {{0, true},   {5, true},  {6, false},
                         {14, false}, {15, true}, {70, true}};

BOOST_DATA_TEST_CASE(a_burst_replaces_the_mean, kBursts, row) {
  Scene scene;
  scene.Hear(Peer(2), "north",
             Relayed(1ms, DomainsReport("north", 0ms, 100, 1000)));
  scene.Run(600ms, row.requests_per_100ms);

  const double expected = row.detected ? row.requests_per_100ms * 10.0 : 100.0;
  BOOST_TEST(scene.At("north").requests_per_s == expected * 10);
  BOOST_TEST(scene.At("north").concurrency == expected * 0.3,
             boost::test_tools::tolerance(1e-6));
  PeerObservations sent;
  scene.board.Append(sent, scene.now);
  BOOST_TEST(sent.domains.front().mean.entries.front().requests_per_s == 100.0);
}

// Each digest has the own domain's report and two others, in rotation.
BOOST_AUTO_TEST_CASE(reports_are_passed_on_in_rotation) {
  Scene scene;
  for (const std::string domain : {"a", "b", "c"}) {
    scene.Hear(Peer(60), domain,
               Relayed(scene.now++, DomainsReport(domain, 0ms, 1)));
  }
  scene.Tick();
  std::string order;
  for (int i = 0; i < 2; ++i) {
    PeerObservations sent;
    scene.board.Append(sent, scene.now);
    BOOST_REQUIRE(sent.domains.size() == 3U);
    BOOST_TEST(sent.domains[0].domain == "north");
    order += sent.domains[1].domain + sent.domains[2].domain;
  }

  BOOST_TEST(order == "abcsouth");
}

}  // namespace
}  // namespace sassafrasdyke::core

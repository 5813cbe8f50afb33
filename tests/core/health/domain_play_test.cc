/// What callers of a failure domain get while some of its targets are in
/// trouble, with and without shared observations.
#include "core/health/domain_play.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {

/// Found by the test framework only outside of the anonymous namespace.
static std::ostream& operator<<(std::ostream& out,
                                const DomainOutcome& outcome) {
  out << outcome.asked << " asked, " << outcome.failed << " failed, "
      << outcome.late << " late, avoided after ";
  if (outcome.avoided_after) {
    out << outcome.avoided_after->count() << " ms";
  } else {
    out << "never";
  }
  return out << ", wrong outliers " << outcome.wrong_outliers << ", probes "
             << outcome.probes << ", share after restart "
             << outcome.share_after_restart;
}

namespace {

using namespace std::chrono_literals;

struct Trouble {
  std::string name;
  std::chrono::milliseconds wants_every;
  TargetTrouble trouble;
  /// Most callers of ten thousand that are served late or not.
  int most_unlucky;
  /// Most flows of the restarted instance, to its share. A slow target gets one
  /// flow before its weight counts.
  double most_after_restart;
};

std::ostream& operator<<(std::ostream& out, const Trouble& row) {
  return out << row.name;
}

const Trouble kTroubles[] = {
    {"slow", 1ms, TargetTrouble::kSlow, 120, 0.8},
    {"failing", 1ms, TargetTrouble::kFailing, 150, 0.2},
    {"flapping", 1ms, TargetTrouble::kFlapping, 250, 0.2},
    {"silent", 5ms, TargetTrouble::kSilent, 60, 0.2}};

const std::uint64_t kSeeds[] = {11, 12, 13};

DomainPlan PlanOf(const Trouble& row, std::uint64_t seed, bool shares) {
  DomainPlan plan;
  plan.seed = seed;
  plan.shares = shares;
  plan.trouble = row.trouble;
  plan.troubled = 6;
  plan.wants_every = row.wants_every;
  plan.restarts_at = 6000ms;
  return plan;
}

int Unlucky(const DomainOutcome& outcome) {
  return (outcome.failed + outcome.late) * 10'000 / outcome.asked;
}

// Guards against instances that each find bad targets by their own few
// requests, while callers wait, and against one that starts without knowing
// them.
BOOST_DATA_TEST_CASE(sharing_finds_bad_targets_several_times_sooner,
                     boost::unit_test::data::make(kTroubles) * kSeeds, row,
                     seed) {
  const DomainOutcome alone = DomainPlay(PlanOf(row, seed, false)).Play();
  const DomainOutcome shared = DomainPlay(PlanOf(row, seed, true)).Play();
  BOOST_TEST_MESSAGE("alone: " << alone);
  BOOST_TEST_MESSAGE("shared: " << shared);

  BOOST_REQUIRE(shared.avoided_after.has_value());
  BOOST_TEST((*shared.avoided_after <= 2000ms));
  BOOST_TEST((!alone.avoided_after ||
              *alone.avoided_after >= 3 * *shared.avoided_after));
  BOOST_TEST(Unlucky(shared) <= row.most_unlucky);
  BOOST_TEST(2 * Unlucky(shared) <= Unlucky(alone));
  BOOST_TEST(shared.failed == 0);
  BOOST_TEST(shared.wrong_outliers == 0U);
  BOOST_TEST(shared.share_after_restart <= row.most_after_restart);
}

struct Whole {
  std::string name;
  TargetTrouble trouble;
  std::chrono::milliseconds usual;
  std::chrono::milliseconds wants_every;
};

std::ostream& operator<<(std::ostream& out, const Whole& row) {
  return out << row.name;
}

const Whole kWholes[] = {
    {"slow as a whole", TargetTrouble::kSlow, 15ms, 4ms},
    {"failing as a whole", TargetTrouble::kFailing, 15ms, 4ms},
    {"flapping as a whole", TargetTrouble::kFlapping, 15ms, 4ms},
    {"long requests", TargetTrouble::kNone, 400ms, 20ms}};

// Guards against ejections that take capacity from a service whose targets are
// all alike.
BOOST_DATA_TEST_CASE(a_service_in_trouble_as_a_whole_ejects_nobody, kWholes,
                     row) {
  DomainPlan plan;
  plan.trouble = row.trouble;
  plan.troubled = 40;
  plan.usual = row.usual;
  plan.wants_every = row.wants_every;
  const DomainOutcome outcome = DomainPlay(plan).Play();
  BOOST_TEST_MESSAGE(outcome);

  BOOST_TEST(outcome.wrong_outliers == 0U);
}

// Guards against shared observations that change decisions though nothing is
// wrong.
BOOST_AUTO_TEST_CASE(healthy_targets_get_the_same_flows_as_without_sharing) {
  DomainPlan plan;
  const DomainOutcome shared = DomainPlay(plan).Play();
  plan.detects = false;
  plan.shares = false;
  const DomainOutcome without = DomainPlay(plan).Play();

  BOOST_TEST(shared.placements == without.placements);
  BOOST_TEST(shared.wrong_outliers == 0U);
  BOOST_TEST(shared.probes == without.probes);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Which failure domain the policies select, and what callers get by that.
#include "core/steering/locality_policy.h"

#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/load/demand.h"
#include "core/steering/headroom_locality.h"
#include "core/steering/proportional_locality.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr double kLeaveAt = 0.7;

enum class Policy { kOwnDomain, kProportional, kHeadroom };

std::ostream& operator<<(std::ostream& out, Policy policy) {
  return out << static_cast<int>(policy);
}

std::unique_ptr<LocalityPolicy> Make(Policy policy) {
  switch (policy) {
    case Policy::kProportional:
      return std::make_unique<ProportionalLocality>(kLeaveAt);
    case Policy::kHeadroom:
      return std::make_unique<HeadroomLocality>(kLeaveAt);
    case Policy::kOwnDomain:
      break;
  }
  return std::make_unique<OwnDomainLocality>();
}

const Policy kPolicies[] = {Policy::kProportional, Policy::kHeadroom};
const std::string kDomains[] = {"north", "south", "west"};

double Uniform(Jitter& random) {
  constexpr std::uint64_t kSteps = 1ULL << 40U;
  return static_cast<double>(random.Below(kSteps)) /
         static_cast<double>(kSteps);
}

struct Range {
  double least;
  double most;
};

/// The parts of flows from north that go to each domain.
struct Row {
  std::string name;
  std::vector<DomainCapacity> domains;
  std::array<Range, 3> parts;
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.name;
}

constexpr Range kNone{0, 0};
constexpr Range kAll{1, 1};

const Row kRows[] = {
    {"below the bound",
     {{"north", 80, 50}, {"south", 80, 5}, {"west", 80, 5}},
     {kAll, kNone, kNone}},
    {"seven times the callers",
     {{"north", 80, 130}, {"south", 80, 19}, {"west", 80, 19}},
     {{{0.4, 0.6}, {0.2, 0.3}, {0.2, 0.3}}}},
    {"one of the others has more headroom",
     {{"north", 80, 80}, {"south", 80, 40}, {"west", 80, 10}},
     {{{0.65, 0.85}, {0.01, 0.1}, {0.1, 0.3}}}},
    {"equally full",
     {{"north", 80, 100}, {"south", 80, 100}, {"west", 80, 100}},
     {kAll, kNone, kNone}},
    {"nearly equally full",
     {{"north", 80, 78}, {"south", 80, 66}, {"west", 80, 66}},
     {kAll, kNone, kNone}},
    {"unreachable",
     {{"north", 80, 130}, {"south", 80, 19, false}, {"west", 80, 19, false}},
     {kAll, kNone, kNone}},
    {"no usable targets",
     {{"north", 80, 130}, {"south", 0, 19}, {"west", 0, 19}},
     {kAll, kNone, kNone}},
    {"no report of another domain",
     {{"north", 80, 130}, {"south", 80, std::nullopt}, {"west", 80, 19}},
     {{{0.4, 0.8}, kNone, {0.2, 0.6}}}},
    {"no report of the own domain",
     {{"north", 80, std::nullopt}, {"south", 80, 5}, {"west", 80, 5}},
     {kAll, kNone, kNone}},
    // Callers of south compete for the capacity of west.
    {"two domains over their share",
     {{"north", 80, 130}, {"south", 80, 130}, {"west", 80, 20}},
     {{{0.7, 0.8}, kNone, {0.2, 0.3}}}},
    {"no own targets, and the others crowded",
     {{"north", 0, 40}, {"south", 80, 45}, {"west", 80, 15}},
     {{kNone, {0.1, 0.4}, {0.6, 0.9}}}},
    // No domain is selected: FlowSteering uses all targets, as without reports.
    {"no own targets, and the others idle",
     {{"north", 0, 16}, {"south", 80, 16}, {"west", 80, 16}},
     {kAll, kNone, kNone}},
};

// Guards against flows that stay where they will be rejected, and against flows
// that leave for a domain that can't serve them better.
BOOST_DATA_TEST_CASE(flows_leave_for_domains_with_capacity,
                     boost::unit_test::data::make(kPolicies) * kRows, policy,
                     row) {
  constexpr int kFlows = 20'000;
  const auto locality = Make(policy);
  Jitter random(7);
  std::map<std::string, int> flows;
  for (int i = 0; i < kFlows; ++i) {
    const LocalityDecision decision =
        locality->Select({"north", row.domains, Uniform(random)});
    ++flows[decision.domain];
    BOOST_TEST_REQUIRE((decision.reason == LocalityReason::kShared) ==
                       (decision.domain != "north"));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    const double part = static_cast<double>(flows[kDomains[i]]) / kFlows;
    BOOST_TEST(part >= row.parts[i].least, kDomains[i] << " " << part);
    BOOST_TEST(part <= row.parts[i].most, kDomains[i] << " " << part);
  }
}

// Guards against a retransmitted SYN that goes to a second domain although the
// first was silent only for a moment: new reports change how many flows leave,
// not where those go that left before.
BOOST_DATA_TEST_CASE(a_flow_that_left_keeps_its_domain, kPolicies, policy) {
  const auto locality = Make(policy);
  Jitter random(7);
  for (int i = 0; i < 1000; ++i) {
    LocalityQuery query{
        "north",
        {{"north", 80, 100}, {"south", 80, 19}, {"west", 80, 19}},
        Uniform(random)};
    const LocalityDecision first = locality->Select(query);
    query.domains[0].demand = 130;
    if (first.reason == LocalityReason::kShared) {
      BOOST_TEST_REQUIRE(locality->Select(query).domain == first.domain);
    }
  }
}

/// Three domains with 40 targets of two slots and a queue of eight each, in
/// steps; a domain's targets are modelled as one queue. All instances decide by
/// the same mean load of the last but one second. Policies have no state, so
/// one object stands for any number of instances.
class FleetPlay {
 public:
  static constexpr std::size_t kCount = 3;
  using PerDomain = std::array<double, kCount>;

  explicit FleetPlay(Policy policy) : locality(Make(policy)) {}

  /// Runs one second in which the callers of each domain send `rates` requests
  /// per second.
  void RunSecond(const PerDomain& rates) {
    this->sent = {};
    this->elsewhere = this->rejected = this->requests = 0;
    std::vector<DomainLoad> measured(kCount);
    for (int step = 0; step < kSteps; ++step) {
      for (std::size_t from = 0; from < kCount; ++from) {
        this->SendFrom(from, rates[from] / kSteps, measured);
      }
      for (std::size_t at = 0; at < kCount; ++at) {
        this->highest[at] = std::max(this->highest[at], this->waiting[at]);
        measured[at].concurrency += this->waiting[at] / kSteps;
        this->waiting[at] -= std::min(this->waiting[at], kSlots) / kStepsOfWork;
      }
    }
    for (std::size_t at = 0; at < kCount; ++at) {
      measured[at].domain = kDomains[at];
    }
    this->known = this->reported;
    this->reported = measured;
  }

  /// Parts of the last second's requests.
  double PartElsewhere() const { return this->elsewhere / this->requests; }
  double PartRejected() const { return this->rejected / this->requests; }
  /// Most requests that were at the domain's targets at once, per slot.
  double Highest(std::size_t domain) const {
    return this->highest[domain] / kSlots;
  }
  static double RateFor(double utilization) {
    return utilization * kSlots / kWorkSeconds;
  }

 private:
  static constexpr double kSlots = 80;
  static constexpr double kQueue = 320;
  static constexpr double kWorkSeconds = 0.03;
  static constexpr int kSteps = 200;
  static constexpr double kStepsOfWork = kWorkSeconds * kSteps;

  void SendFrom(std::size_t from, double count,
                std::vector<DomainLoad>& measured) {
    for (this->sent[from] += count; this->sent[from] >= 1; --this->sent[from]) {
      const std::size_t at = this->Select(from);
      ++this->requests;
      this->elsewhere += at == from ? 0 : 1;
      ++measured[at].requests_per_s;
      measured[from].callers_requests_per_s =
          measured[from].callers_requests_per_s.value_or(0) + 1;
      if (this->waiting[at] + 1 > kSlots + kQueue) {
        ++this->rejected;
      } else {
        ++this->waiting[at];
      }
    }
  }

  std::size_t Select(std::size_t from) {
    LocalityQuery query{kDomains[from], {}, Uniform(this->random)};
    for (const std::string& domain : kDomains) {
      query.domains.push_back(
          {domain, kSlots, DemandOf(domain, kSlots, this->known)});
    }
    const std::string domain = this->locality->Select(query).domain;
    return static_cast<std::size_t>(std::ranges::find(kDomains, domain) -
                                    std::begin(kDomains));
  }

  const std::unique_ptr<LocalityPolicy> locality;
  Jitter random{7};
  std::vector<DomainLoad> known;     ///< What instances decide by.
  std::vector<DomainLoad> reported;  ///< Measured in the last second.
  PerDomain waiting{};               ///< Requests at the targets.
  PerDomain highest{};
  PerDomain sent{};
  double requests{0};
  double elsewhere{0};
  double rejected{0};
};

struct Burst {
  Policy policy;
  Range rejected;  ///< Part of all requests, once the burst is reported.
};

std::ostream& operator<<(std::ostream& out, const Burst& row) {
  return out << row.policy;
}

const Burst kBursts[] = {{Policy::kOwnDomain, {0.25, 1}},
                         {Policy::kProportional, {0, 0}},
                         {Policy::kHeadroom, {0, 0}}};

// Guards against callers of one domain that are rejected while two domains
// idle, against flows that leave and return in turns, and against domains that
// are overloaded by flows of others.
BOOST_DATA_TEST_CASE(a_domain_with_seven_times_its_callers, kBursts, row) {
  constexpr int kReported = 2;
  constexpr int kSettled = 6;
  const double base = FleetPlay::RateFor(0.7 * 3 / 9);
  FleetPlay play(row.policy);
  for (int second = 0; second < 3; ++second) {
    play.RunSecond({base, base, base});
    BOOST_TEST(play.PartElsewhere() == 0.0);
  }
  Range elsewhere{1, 0};
  for (int second = 0; second < 15; ++second) {
    play.RunSecond({7 * base, base, base});
    if (second >= kReported) {
      BOOST_TEST(play.PartRejected() >= row.rejected.least);
      BOOST_TEST(play.PartRejected() <= row.rejected.most);
    }
    if (second >= kSettled) {
      elsewhere = {std::min(elsewhere.least, play.PartElsewhere()),
                   std::max(elsewhere.most, play.PartElsewhere())};
    }
  }
  BOOST_TEST(elsewhere.most - elsewhere.least <= 0.03);
  BOOST_TEST(play.Highest(1) <= 1.0);
  BOOST_TEST(play.Highest(2) <= 1.0);
  // The demand turns: after two seconds the flows of north stay again.
  for (int second = 0; second < 4; ++second) {
    play.RunSecond({base, base, base});
  }
  BOOST_TEST(play.PartElsewhere() == 0.0);
}

}  // namespace
}  // namespace sassafrasdyke::core

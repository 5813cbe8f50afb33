/// Tests what a fleet knows of its load when reports travel only with the
/// digests that instances send anyway.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/load/load_scene.h"
#include "core/roster/peer_sync.h"
#include "core/view/sample_publication.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kTick = 100ms;
constexpr double kRatePerInstance = 30;

common::Endpoint AddressOf(std::size_t instance) {
  return {common::IpAddress::FromV4(0x0A000001U +
                                    static_cast<std::uint32_t>(instance)),
          7720};
}

/// Instances in domains of equal size. All requests go to targets in "north",
/// where no instance is.
class Fleet {
 public:
  Fleet(std::size_t size, std::size_t domains) : random(size) {
    std::vector<common::Endpoint> seeds;
    for (std::size_t i = 0; i < 3; ++i) {
      seeds.push_back(AddressOf(i));
    }
    for (std::size_t i = 0; i < size; ++i) {
      auto node = std::make_unique<Node>(this->publication);
      node->domain = "domain-" + std::to_string(i % domains);
      node->board = std::make_unique<LoadBoard>(node->domain, node->load.meter);
      node->sync = std::make_unique<PeerSync>(
          RosterSelf{AddressOf(i), node->domain}, seeds, node->view,
          SyncLimits{}, i, PeerSync::Observers{node->board.get()});
      node->view.OnListing({{"configuration", {1}, "1 198.18.0.1:443=diary"}},
                           {1}, 0ms);
      this->nodes.push_back(std::move(node));
      this->Send(this->nodes[i]->sync->OnStart(0ms));
    }
  }

  struct Node {
    explicit Node(const Publication& publication) : view(publication, 60s) {}

    std::string domain;
    LiveView view;
    LoadScene load;
    std::unique_ptr<LoadBoard> board;
    std::unique_ptr<PeerSync> sync;
    bool dead{false};
    double rate{kRatePerInstance};
  };

  void Run(milliseconds time) {
    for (const milliseconds end = this->now + time; this->now < end;) {
      this->now += kTick;
      for (const auto& node : this->nodes) {
        if (!node->dead) {
          this->Tick(*node);
        }
      }
      this->Deliver();
    }
  }

  void SetRate(const std::string& domain, double rate) {
    for (const auto& node : this->nodes) {
      if (node->domain == domain) {
        node->rate = rate;
      }
    }
  }
  static double RateSeenBy(const Node& node) {
    for (const DomainLoad& load : node.board->Of("diary")) {
      if (load.domain == "north") {
        return load.requests_per_s;
      }
    }
    return 0;
  }

  milliseconds now{0};
  std::vector<std::unique_ptr<Node>> nodes;
  std::string cut_off;  ///< A domain that no other can reach.

 private:
  void Tick(Node& node) {
    for (milliseconds at = this->now - kTick; at < this->now; at += 1ms) {
      if (this->random.Below(1'000'000) <
          static_cast<std::uint64_t>(node.rate * 1000)) {
        node.load.meter.OnOpening(node.load.TargetIn(0), at);
        node.load.meter.OnAnswer(node.load.TargetIn(0), {at, 34ms, 2ms}, at);
      }
    }
    node.view.Contact().OnAnswer(this->now);
    node.board->OnTick(this->now,
                       node.sync->Members().DomainMembers(this->now));
    this->Send(node.sync->OnTick(this->now));
  }
  void Send(SyncActions actions) {
    std::ranges::move(actions.digests, std::back_inserter(this->in_flight));
  }
  void Deliver() {
    const std::deque<DigestOut> due = std::exchange(this->in_flight, {});
    for (const DigestOut& out : due) {
      Node& node = *this->nodes[out.to.address.V4() - 0x0A000001U];
      const bool cut = (out.digest.domain == this->cut_off) !=
                       (node.domain == this->cut_off);
      if (!node.dead && !cut) {
        this->Send(node.sync->OnDigest(out.digest, this->now));
      }
    }
  }

  SamplePublication publication;
  Jitter random;
  std::deque<DigestOut> in_flight;
};

bool IsNear(double value, double expected, double tolerance) {
  return std::abs(value - expected) <= tolerance * expected;
}

struct Size {
  std::size_t instances;
  std::size_t domains;
};

std::ostream& operator<<(std::ostream& out, const Size& row) {
  return out << row.instances << " in " << row.domains;
}

const Size kSizes[] = {{81, 3}, {130, 3}, {140, 7}};

// Guards against a fleet that takes healthy domains for unreachable, as with
// one digest a second, and against a load that counts reports twice or misses
// instances.
BOOST_DATA_TEST_CASE(the_load_of_the_fleet_is_known_everywhere, kSizes, row) {
  Fleet fleet(row.instances, row.domains);
  fleet.Run(10s);
  const double expected = kRatePerInstance * static_cast<double>(row.instances);
  double measures = 0;
  double unreachable = 0;
  double wrong = 0;
  for (int i = 0; i < 50; ++i) {
    fleet.Run(kTick);
    for (const auto& node : fleet.nodes) {
      for (const DomainLoad& load : node->board->Of("diary")) {
        ++measures;
        unreachable += load.reachable || load.domain == "north" ? 0 : 1;
        if (load.domain == "north") {
          wrong += IsNear(load.requests_per_s, expected, 0.15) &&
                           IsNear(load.concurrency, expected * 0.03, 0.15)
                       ? 0
                       : 1;
        }
      }
    }
  }

  BOOST_TEST(measures ==
             50.0 * static_cast<double>(row.instances * (row.domains + 1)));
  BOOST_TEST(unreachable / measures <= 0.001);
  // Random bursts of single instances are among the others.
  BOOST_TEST(wrong <= 0.02 * 50 * static_cast<double>(row.instances));
}

// A burst of the callers of one domain must count before it has filled the
// queues of its targets.
BOOST_AUTO_TEST_CASE(a_burst_is_known_within_a_second) {
  Fleet fleet(81, 3);
  fleet.Run(10s);
  fleet.SetRate("domain-0", 7 * kRatePerInstance);
  fleet.Run(1s);

  // Of 27 instances with 105 requests in half a second.
  const double expected = kRatePerInstance * (7 * 27 + 54);
  double mean = 0;
  for (const auto& node : fleet.nodes) {
    if (node->domain == "domain-0") {
      mean += Fleet::RateSeenBy(*node) / 27;
      BOOST_TEST(IsNear(Fleet::RateSeenBy(*node), expected, 0.35));
    }
  }
  BOOST_TEST(IsNear(mean, expected, 0.15));
  fleet.SetRate("domain-0", kRatePerInstance);
  fleet.Run(1s);
  for (const auto& node : fleet.nodes) {
    if (node->domain == "domain-0") {
      BOOST_TEST(Fleet::RateSeenBy(*node) < expected / 2);
    }
  }
}

// Reports of a domain don't depend on those who read the store.
BOOST_AUTO_TEST_CASE(the_load_is_known_after_the_readers_die) {
  Fleet fleet(81, 3);
  fleet.Run(10s);
  std::size_t dead = 0;
  for (const auto& node : fleet.nodes) {
    if (node->sync->Members().Rank(fleet.now) < SyncLimits{}.readers) {
      node->dead = true;
      ++dead;
    }
  }
  BOOST_TEST(dead == 6U);
  double wrong = 0;
  for (int i = 0; i < 50; ++i) {
    fleet.Run(kTick);
    for (const auto& node : fleet.nodes) {
      // For 10 s the dead still count in the size of their domain.
      const bool right =
          IsNear(Fleet::RateSeenBy(*node), 78 * kRatePerInstance, 0.2);
      wrong += node->dead || right ? 0 : 1;
    }
  }
  BOOST_TEST(wrong <= 0.02 * 50 * 75);
}

// The link between one domain and the others is cut, and mended.
BOOST_AUTO_TEST_CASE(a_partition_is_known_to_both_sides) {
  Fleet fleet(81, 3);
  fleet.Run(10s);
  fleet.cut_off = "domain-0";
  fleet.Run(1700ms);
  for (const auto& node : fleet.nodes) {
    for (const DomainLoad& load : node->board->Totals()) {
      const bool same_side =
          (node->domain == fleet.cut_off) == (load.domain == fleet.cut_off);
      BOOST_TEST((load.domain == "north" || load.reachable == same_side));
    }
  }
  fleet.Run(2500ms);
  for (const auto& node : fleet.nodes) {
    BOOST_TEST(node->board->Of("diary").empty() ==
               (node->domain == fleet.cut_off));
  }
  fleet.cut_off.clear();
  fleet.Run(2s);
  for (const auto& node : fleet.nodes) {
    for (const DomainLoad& load : node->board->Totals()) {
      BOOST_TEST((load.domain == "north" || load.reachable));
    }
  }
}

// Digests with changes are near the limit of a datagram.
BOOST_AUTO_TEST_CASE(digests_with_changes_carry_no_observations) {
  Fleet fleet(6, 1);
  fleet.Run(2s);
  std::size_t with_changes = 0;
  for (const auto& node : fleet.nodes) {
    const common::Revision before = node->view.Items().Complete();
    node->view.OnChanges({{{"target/a1", {2}, "diary north 10.1.0.9:80"}}, {2}},
                         fleet.now);
    for (const DigestOut& out :
         node->sync->OnStoreRead(before, fleet.now).digests) {
      BOOST_TEST(out.digest.observations.Empty() ==
                 out.digest.changes.has_value());
      with_changes += out.digest.changes ? 1 : 0;
    }
  }

  BOOST_TEST(with_changes > 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core

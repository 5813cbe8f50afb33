/// Which failure domains get the flows of routes that allow certain regions.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// An instance in north, whose region is "one", as is that of south.
struct RegionRow {
  std::string name;
  std::string allowed;               ///< The route's region; empty for all.
  std::vector<std::string> domains;  ///< With a target each.
  std::vector<std::string> served;   ///< Where its flows may go.
  std::string outcome;
};

std::ostream& operator<<(std::ostream& out, const RegionRow& row) {
  return out << row.name;
}

const RegionRow kRegions[] = {
    {"all regions", "", {"west"}, {"west"}, "spilled"},
    {"home", "@one", {"north", "west"}, {"north"}, "local"},
    {"a neighbour at home", "@one", {"south", "west"}, {"south"}, "spilled"},
    {"another home", "@two", {"north", "west"}, {"west"}, "spilled"},
    {"nobody at home", "@one", {"west"}, {}, "no-target"},
    {"a domain of unknown region", "@one", {"east"}, {}, "no-target"},
    {"a region nobody is in", "@three", {"north", "west"}, {}, "no-target"},
};

struct RegionScene : SteeringScene {
  explicit RegionScene(const RegionRow& row) {
    this->view.SetRegions(
        RegionMap({{"north", "one"}, {"south", "one"}, {"west", "two"}}));
    this->Configure("1 198.18.0.1:443=diary" + row.allowed, 0ms);
    int id = 0;
    for (const std::string& domain : row.domains) {
      ++id;
      this->Publish(
          "a" + std::to_string(id),
          TargetText("diary", domain, "10.0.0." + std::to_string(id) + ":80"),
          0ms);
    }
  }
};

// Guards against flows that leave the regions of their route, whether they are
// new, relieved or retransmitted, and against callers who wait though nobody
// at home can serve them.
BOOST_DATA_TEST_CASE(flows_stay_in_the_regions_of_their_route, kRegions, row) {
  RegionScene scene(row);
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(2000), 10ms)) ==
             row.outcome);
  for (std::uint16_t port = 1000; port < 1100; ++port) {
    for (const bool retransmitted : {false, true}) {
      const auto now = retransmitted ? 300ms : 10ms;
      const std::vector<std::string> grants{"", "south", "west", "east"};
      const std::string& granted = grants[port % grants.size()];
      AdmissionGrant grant;
      if (!granted.empty()) {
        grant.domain = granted;
      }
      const auto action = scene.steering.OnPacket(
          SteeringScene::Syn(port, retransmitted ? 1 : 0), now, grant);
      const auto* sent = std::get_if<SendToTarget>(&action);
      BOOST_REQUIRE((sent == nullptr) == row.served.empty());
      if (sent != nullptr) {
        const std::string& domain =
            scene.view.Targets().At(sent->target).published.domain;
        BOOST_TEST((std::ranges::find(row.served, domain) != row.served.end()));
      }
    }
  }
}

// Guards against limits of forbidden domains that admit flows for which the
// route's own domains have no room, or refuse those that they have room for.
BOOST_DATA_TEST_CASE(grants_name_only_allowed_domains, kRegions, row) {
  RegionScene scene(row);
  const Route& route =
      *scene.view.Routes().Find(SteeringScene::Packet(1).flow.service);
  for (std::uint16_t port = 1000; port < 1050; ++port) {
    const auto grant = scene.steering.Limiter().GrantFor(route, 10ms);
    if (!grant) {
      break;
    }
    BOOST_TEST(
        (!grant->domain ||
         std::ranges::find(row.served, *grant->domain) != row.served.end()));
    scene.steering.OnPacket(SteeringScene::Syn(port), 10ms, *grant);
  }
}

// Guards against callers who wait for their deadline during an outage of the
// store though no domain that the route allows can have targets for them.
BOOST_AUTO_TEST_CASE(nobody_at_home_is_refused_at_once_during_an_outage) {
  RegionScene scene(kRegions[1]);
  scene.Remove("a1", 5ms);
  scene.view.Contact().OnReturn(10ms);
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 20ms)) ==
             "stale-view");

  scene.Evacuate("north", 20ms);
  scene.Evacuate("south", 20ms);

  BOOST_TEST(std::holds_alternative<Refuse>(
      scene.steering.OnPacket(SteeringScene::Syn(1001), 30ms)));
}

// Guards against a domain that is left out without a word to the operator.
BOOST_AUTO_TEST_CASE(a_domain_of_unknown_region_is_reported_once) {
  RegionScene scene(kRegions[5]);
  scene.Publish("a2", TargetText("diary", "east", "10.0.0.9:80"), 10ms);

  int reported = 0;
  for (const ViewChange& change : scene.view.TakeChanges()) {
    if (const auto* unknown = std::get_if<RegionUnknown>(&change)) {
      BOOST_TEST(unknown->domain == "east");
      ++reported;
    }
  }
  BOOST_TEST(reported == 1);
}

}  // namespace
}  // namespace sassafrasdyke::core

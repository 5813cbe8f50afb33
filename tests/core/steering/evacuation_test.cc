/// Where new flows go while the operator has evacuated failure domains.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "core/steering/admission_control.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

/// An instance in north, with targets in three domains.
struct EvacuationScene : SteeringScene {
  EvacuationScene() {
    this->Configure("1 198.18.0.1:443=diary", 0ms);
    this->Publish("a1", "diary north 10.0.0.1:80", 0ms);
    this->Publish("a2", "diary north 10.0.0.2:80", 0ms);
    this->Publish("b1", "diary south 10.0.1.1:80", 0ms);
    this->Publish("c1", "diary west 10.0.2.1:80", 0ms);
  }

  std::string DomainOf(const SteeringAction& action) {
    const auto* sent = std::get_if<SendToTarget>(&action);
    return sent == nullptr
               ? ""
               : this->view.Targets().At(sent->target).published.domain;
  }
};

struct EvacuationRow {
  std::vector<std::string> domains;  ///< Evacuated.
  std::vector<std::string> served;   ///< Where new flows may go.
  std::string outcome;               ///< Of a new flow.
};

std::ostream& operator<<(std::ostream& out, const EvacuationRow& row) {
  for (const std::string& domain : row.domains) {
    out << domain << " ";
  }
  return out;
}

const EvacuationRow kEvacuations[] = {
    {{"north"}, {"south", "west"}, "evacuated"},
    {{"south"}, {"north"}, "local"},
    {{"north", "west"}, {"south"}, "evacuated"},
    {{"north", "south", "west"}, {}, "evacuated"},
    {{"nowhere"}, {"north"}, "local"},
};

// Guards against new flows at targets of an evacuated domain, and against
// callers who wait for their deadline when every domain is evacuated.
BOOST_DATA_TEST_CASE(an_evacuated_domain_gets_no_new_flows, kEvacuations, row) {
  EvacuationScene scene;
  for (const std::string& domain : row.domains) {
    scene.Evacuate(domain, 10ms);
  }

  for (std::uint16_t port = 1000; port < 1100; ++port) {
    const auto action = scene.steering.OnPacket(SteeringScene::Syn(port), 20ms);
    BOOST_TEST(WordOf(action) == row.outcome);
    BOOST_TEST(std::holds_alternative<Refuse>(action) == row.served.empty());
    BOOST_TEST((row.served.empty() ||
                std::ranges::find(row.served, scene.DomainOf(action)) !=
                    row.served.end()));
  }
}

// Guards against a second opening at an evacuated target: the first copy of a
// SYN went there before the evacuation, the second comes after it.
BOOST_AUTO_TEST_CASE(a_retransmitted_syn_leaves_an_evacuated_domain) {
  for (const auto interval : {50ms, 200ms}) {
    EvacuationScene scene;
    const auto first = scene.steering.OnPacket(SteeringScene::Syn(1000), 10ms);
    BOOST_REQUIRE(scene.DomainOf(first) == "north");
    scene.Evacuate("north", 20ms);

    const auto second =
        scene.steering.OnPacket(SteeringScene::Syn(1000, 1), 10ms + interval);

    BOOST_TEST(scene.DomainOf(second) != "north");
    BOOST_TEST(scene.WordOf(second) != 0U);
  }
}

// Guards against open flows that break or move when their domain is evacuated.
BOOST_AUTO_TEST_CASE(open_flows_stay_at_evacuated_targets) {
  EvacuationScene scene;
  const std::uint32_t word =
      scene.WordOf(scene.steering.OnPacket(SteeringScene::Syn(1000), 10ms));
  scene.Evacuate("north", 20ms);

  const auto action =
      scene.steering.OnPacket(SteeringScene::Data(1000, word), 30s);

  BOOST_TEST(scene.WordOf(action) == word);
  BOOST_TEST(WordOf(action) == "carried");
}

// Guards against SYNs that were queued before the evacuation and are sent to
// the domain after it.
BOOST_AUTO_TEST_CASE(a_queued_syn_leaves_an_evacuated_domain) {
  EvacuationScene scene;
  AdmissionControl admission(scene.view.Routes(), scene.steering);
  const std::vector<std::uint8_t> bytes(32);
  std::uint16_t port = 1000;
  while (admission.Waiting() < 5) {
    BOOST_REQUIRE(port < 1200);
    const FlowPacket syn = SteeringScene::Syn(++port);
    if (const auto grant = admission.Admit(syn, bytes, 10ms, 10ms)) {
      scene.steering.OnPacket(syn, 10ms, *grant);
    }
  }
  scene.Evacuate("north", 150ms);

  int sent = 0;
  for (auto now = 160ms; now < 200ms; now += 10ms) {
    scene.steering.OnTick(now);
    while (const auto released = admission.TakeNext(now)) {
      FlowPacket syn = SteeringScene::Syn(1);
      syn.flow = released->syn.flow;
      const auto action = scene.steering.OnPacket(syn, now, released->grant);
      BOOST_TEST(scene.DomainOf(action) != "north");
      ++sent;
    }
  }
  BOOST_TEST(sent > 0);
}

/// A target of an evacuated domain that changes meanwhile.
struct TargetChangeRow {
  std::string published;  ///< While its domain is evacuated.
  TargetPhase after;      ///< Once the evacuation is lifted.
};

std::ostream& operator<<(std::ostream& out, const TargetChangeRow& row) {
  return out << row.published;
}

const TargetChangeRow kTargetChanges[] = {
    {"diary north 10.0.0.9:80", TargetPhase::kServing},
    {"diary north 10.0.0.9:80 draining", TargetPhase::kDraining},
    {"bytes", TargetPhase::kUnreadable},
};

// Guards against an evacuation of single targets: one that joins, starts again
// or turns ready in the domain would get flows, and one that drains would be
// taken for serving once the evacuation is lifted.
BOOST_DATA_TEST_CASE(targets_that_change_stay_evacuated, kTargetChanges, row) {
  EvacuationScene scene;
  scene.Publish("a1", "diary north 10.0.0.1:80 draining", 0ms);
  scene.Evacuate("north", 10ms);
  scene.Publish("a1", row.published, 20ms);
  scene.Publish("a3", "diary north 10.0.0.3:80", 20ms);
  scene.Remove("a2", 20ms);

  for (std::uint16_t port = 1000; port < 1050; ++port) {
    const auto action = scene.steering.OnPacket(SteeringScene::Syn(port), 30ms);
    BOOST_TEST(scene.DomainOf(action) != "north");
  }
  scene.Lift("north", 40ms);

  BOOST_TEST((scene.view.Targets().Find({0xA1})->phase == row.after));
  const std::size_t serving = row.after == TargetPhase::kServing ? 2 : 1;
  BOOST_TEST(scene.view.Targets().ServingByDomain("diary").at("north").size() ==
             serving);
  BOOST_TEST(WordOf(scene.steering.OnPacket(SteeringScene::Syn(2000), 50ms)) ==
             "local");
}

// Guards against callers of an evacuated domain who wait although the targets
// of the other domains idle: these had a limit of one request each.
BOOST_AUTO_TEST_CASE(other_domains_take_over_the_limit_of_an_evacuated_one) {
  constexpr int kTargets = 20;
  SteeringScene scene;
  scene.Configure("1 198.18.0.1:443=diary", 0ms);
  for (int i = 0; i < kTargets; ++i) {
    for (const std::string domain : {"north", "south", "west"}) {
      const std::string id =
          std::to_string(10 + i) + std::to_string(domain.size());
      scene.Publish(id, TargetText("diary", domain, "10.0.0.1:" + id), 0ms);
    }
  }
  scene.Evacuate("north", 10ms);
  AdmissionControl admission(scene.view.Routes(), scene.steering);
  const std::vector<std::uint8_t> bytes(32);

  std::uint16_t admitted = 0;
  while (admitted < 1000) {
    const FlowPacket syn = SteeringScene::Syn(1000 + admitted);
    const auto grant = admission.Admit(syn, bytes, 20ms, 20ms);
    if (!grant) {
      break;
    }
    scene.steering.OnPacket(syn, 20ms, *grant);
    ++admitted;
  }

  // As many as the own targets would process at once.
  BOOST_TEST(admitted >= 2 * kTargets);
  BOOST_TEST(admitted <= 4 * kTargets);
}

}  // namespace
}  // namespace sassafrasdyke::core

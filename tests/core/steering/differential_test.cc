/// Random histories of a fleet, checked against a model with global knowledge:
/// targets start, drain, crash and have their addresses reused, configurations
/// change, instances restart and lose the store, packets arrive at any instance
/// and repeatedly.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t kInstances = 4;
constexpr int kSteps = 3000;
constexpr milliseconds kStep = 20ms;
/// Maximum time until an instance that the store serves knows a published
/// change.
constexpr milliseconds kLag = 300ms;

/// Actual state of one target.
struct TrueTarget {
  std::string id;
  std::string service;
  std::string domain;
  std::string address;
  bool alive{true};
  bool draining{false};
  milliseconds leaves_since{0};  ///< When draining or its end was published.
};

/// Actual state of one open flow.
struct TrueFlow {
  std::uint16_t port{0};
  std::uint32_t word{0};
};

/// One instance. Its view follows the store at once, late or not at all.
struct Node {
  Node() : scene(std::make_unique<SteeringScene>()) {}

  std::unique_ptr<SteeringScene> scene;
  bool refused{false};           ///< The store refuses its requests.
  milliseconds served_since{0};  ///< By the store, without interruption.
  milliseconds started_at{0};
  milliseconds synced_at{0};
  std::uint64_t version{0};
};

class Model {
 public:
  explicit Model(std::uint64_t seed) : random(seed), nodes(kInstances) {
    this->published.Replace({}, {1});
    this->Configure();
    for (int i = 0; i < 6; ++i) {
      this->StartTarget();
    }
    for (Node& node : this->nodes) {
      this->Sync(node);
    }
  }

  void Step() {
    this->now += kStep;
    switch (this->random.Below(40)) {
      case 0:
        this->StartTarget();
        break;
      case 1:
        this->Drain();
        break;
      case 2:
        this->Crash();
        break;
      case 3:
        this->Configure();
        break;
      case 4:
        this->Restart();
        break;
      case 5: {
        Node& node = this->AnyNode();
        node.refused = !node.refused;
        node.served_since = this->now;
        break;
      }
      case 6:
        this->Lapse();
        break;
      default:
        this->AnyPacket();
    }
    for (Node& node : this->nodes) {
      const bool due = this->now - node.synced_at >= kLag / 2;
      if (!node.refused && due) {
        this->Sync(node);
      }
      node.scene->view.OnTick(this->Since(node));
      node.scene->steering.OnTick(this->Since(node));
    }
  }

 private:
  milliseconds Since(const Node& node) const {
    return this->now - node.started_at;
  }
  Node& AnyNode() { return this->nodes[this->random.Below(kInstances)]; }

  void Write(const std::string& key, std::optional<std::string> value) {
    ++this->revision;
    this->published.Merge({key, {this->revision}, std::move(value)});
    this->published.CompleteTo({this->revision});
  }

  void Configure() {
    ++this->version;
    const bool both = this->random.Below(3) == 0;
    this->Write("configuration",
                std::to_string(this->version) +
                    " 198.18.0.1:443=" + (both ? "diary,handover" : "diary"));
  }

  std::string Value(const TrueTarget& target) const {
    return TargetText(target.service, target.domain, target.address) +
           (target.draining ? " draining" : "");
  }

  void StartTarget() {
    static constexpr const char* kServices[] = {"diary", "diary", "handover"};
    ++this->last_target;
    TrueTarget target;
    char id[16];
    std::snprintf(id, sizeof(id), "%x", 0x1000U + this->last_target);
    target.id = id;
    target.service = kServices[this->random.Below(3)];
    target.domain = this->random.Below(2) == 0 ? "north" : "south";
    target.address = this->FreeAddress();
    const std::uint32_t word = 0x1000U + this->last_target;
    this->targets[word] = target;
    this->Write("target/" + target.id, this->Value(target));
  }

  /// Sometimes the address of a target that has ended.
  std::string FreeAddress() {
    for (const auto& [word, target] : this->targets) {
      const bool used = this->InUse(target.address);
      if (!target.alive && !used && this->random.Below(3) == 0) {
        return target.address;
      }
    }
    ++this->last_address;
    return "10.0.0.1:" + std::to_string(1000 + this->last_address);
  }

  bool InUse(const std::string& address) const {
    for (const auto& [word, target] : this->targets) {
      if (target.alive && target.address == address) {
        return true;
      }
    }
    return false;
  }

  std::optional<std::uint32_t> AnyLive() {
    std::vector<std::uint32_t> live;
    for (const auto& [word, target] : this->targets) {
      if (target.alive) {
        live.push_back(word);
      }
    }
    if (live.size() < 3) {
      return std::nullopt;
    }
    return live[this->random.Below(live.size())];
  }

  void Drain() {
    if (const auto word = this->AnyLive()) {
      TrueTarget& target = this->targets[*word];
      if (!target.draining) {
        target.draining = true;
        target.leaves_since = this->now;
        this->Write("target/" + target.id, this->Value(target));
      }
    }
  }

  void Crash() {
    if (const auto word = this->AnyLive()) {
      TrueTarget& target = this->targets[*word];
      target.alive = false;
      target.leaves_since = target.draining ? target.leaves_since : this->now;
      this->Write("target/" + target.id, std::nullopt);
    }
  }

  /// A live target that is cut off from the store is published as removed, and
  /// registers again a moment later.
  void Lapse() {
    if (const auto word = this->AnyLive()) {
      const TrueTarget& target = this->targets[*word];
      for (Node& node : this->nodes) {
        node.scene->view.Contact().OnReturn(this->Since(node));
      }
      this->Write("target/" + target.id, std::nullopt);
      for (Node& node : this->nodes) {
        if (!node.refused) {
          this->Sync(node);
        }
      }
      this->Write("target/" + target.id, this->Value(target));
    }
  }

  void Restart() {
    Node& node = this->AnyNode();
    node = Node();
    node.started_at = this->now;
    node.served_since = this->now;
    this->Sync(node);
  }

  void Sync(Node& node) {
    node.synced_at = this->now;
    LiveView& view = node.scene->view;
    view.Contact().OnAnswer(this->Since(node));
    view.OnPeerItems(this->published.Since(view.Items().Complete()),
                     this->Since(node));
    BOOST_REQUIRE(view.Routes().Version() >= node.version);
    node.version = view.Routes().Version();
  }

  void AnyPacket() {
    Node& node = this->AnyNode();
    if (this->flows.empty() || this->random.Below(4) == 0) {
      this->Open(node);
      return;
    }
    const TrueFlow flow = this->flows[this->random.Below(this->flows.size())];
    const bool living = this->targets[flow.word].alive;
    // Only live targets acknowledge.
    const bool acknowledges = living && this->random.Below(3) == 0;
    const FlowPacket packet = acknowledges
                                  ? SteeringScene::Ack(flow.port, flow.word)
                                  : SteeringScene::Data(flow.port, flow.word);
    this->CheckCarried(node, packet, flow, living);
  }

  void Open(Node& node) {
    const std::uint16_t port = ++this->last_port;
    const auto repeats = static_cast<std::uint32_t>(this->random.Below(2));
    const auto action = node.scene->steering.OnPacket(
        SteeringScene::Syn(port, repeats), this->Since(node));
    const std::uint32_t word = node.scene->WordOf(action);
    if (word == 0) {
      // No target is chosen only when the node knows of none that serves the
      // route.
      const bool settling =
          node.scene->view.Contact().LapseLikely(this->Since(node));
      BOOST_REQUIRE(WordOf(action) == (settling ? "stale-view" : "no-target"));
      BOOST_REQUIRE(node.scene->view.Targets().Serving("diary").empty());
      return;
    }
    const TrueTarget& target = this->targets[word];
    const bool fresh =
        !node.refused && this->now - node.served_since > kLag + kReturnSettle;
    BOOST_REQUIRE(target.service == "diary" || node.version > 0);
    if (fresh && (target.draining || !target.alive)) {
      BOOST_REQUIRE_MESSAGE(
          this->now - target.leaves_since <= kLag + kReturnSettle,
          "a target that left " << (this->now - target.leaves_since).count()
                                << " ms ago was given a flow: " << target.id);
    }
    if (target.alive) {
      this->flows.push_back({port, word});
    }
  }

  void CheckCarried(Node& node, const FlowPacket& packet, const TrueFlow& flow,
                    bool living) {
    const auto action =
        node.scene->steering.OnPacket(packet, this->Since(node));
    if (const auto* sent = std::get_if<SendToTarget>(&action)) {
      BOOST_REQUIRE(sent->reason == SteeringReason::kCarried);
      BOOST_REQUIRE(node.scene->WordOf(action) == flow.word);
      return;
    }
    if (living) {
      // A silent drop costs only a retransmission; a reset would end a live
      // flow.
      BOOST_REQUIRE_MESSAGE(!std::holds_alternative<Refuse>(action),
                            "a living flow was reset: " << WordOf(action));
    }
  }

  Jitter random;
  milliseconds now{0};
  std::vector<Node> nodes;
  ItemStore published;
  std::uint64_t revision{1};
  std::uint64_t version{0};
  std::map<std::uint32_t, TrueTarget> targets;
  std::vector<TrueFlow> flows;
  std::uint32_t last_target{0};
  std::uint32_t last_address{0};
  std::uint16_t last_port{0};
};

BOOST_DATA_TEST_CASE(a_fleet_keeps_every_flow_at_its_target,
                     boost::unit_test::data::xrange(60), seed) {
  Model model(static_cast<std::uint64_t>(seed));
  for (int step = 0; step < kSteps; ++step) {
    model.Step();
  }
}

}  // namespace
}  // namespace sassafrasdyke::core

/// Random histories of a route and a target that come and go, read late by an
/// instance that carries flows which others have opened.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t kWord = 0xA1;
constexpr milliseconds kStep{50};
constexpr milliseconds kLength{60'000};
/// Between two readings of the store, at least and at most.
constexpr int kMinPauseMs = 400;
constexpr int kMaxPauseMs = 1500;
/// Histories with other draws.
constexpr std::uint32_t kHistories = 100;

/// What is published, and what lives.
struct World {
  unsigned routes{1};  ///< Publications of the route so far.
  bool has_route{true};
  unsigned starts{1};  ///< Of the target so far.
  bool alive{true};
  std::string address{"10.0.0.1:80"};
};

/// An open flow of the target's start and the route's publication.
struct OpenFlow {
  std::uint16_t port;
  unsigned route;
  unsigned start;
};

/// The store, and an instance that reads it late.
class LateInstance {
 public:
  explicit LateInstance(std::uint32_t seed) : random(seed) {
    this->PublishRoute();
    this->PublishTarget();
    this->Read();
  }

  /// Plays the history; returns how many flows that are open were reset.
  std::size_t Play() {
    for (; this->now < kLength; this->now += kStep) {
      this->ChangeWorld();
      if (this->now >= this->next_reading) {
        this->Read();
        this->next_reading =
            this->now + milliseconds(this->Draw(kMinPauseMs, kMaxPauseMs));
      } else if (this->Draw(0, 20) == 0) {
        // A peer tells of some changes, which confirms nothing.
        this->Learn(this->pending.size() / 2);
      }
      this->Probe();
      this->SendPackets();
      this->scene.steering.OnTick(this->now);
    }
    return this->wrong;
  }
  std::size_t Ended() const { return this->ended; }

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->random);
  }

  void PublishRoute() {
    this->pending.emplace_back(
        "configuration",
        std::to_string(++this->version) +
            (this->world.has_route ? " 198.18.0.1:443=diary" : ""));
  }
  void PublishTarget() {
    this->pending.emplace_back(
        "target/a1",
        this->world.alive
            ? std::make_optional(
                  "diary north " + this->world.address +
                  " start=" + std::to_string(100'000 * this->world.starts))
            : std::nullopt);
  }

  void ChangeWorld() {
    if (this->Draw(0, 40) == 0) {
      this->world.has_route = !this->world.has_route;
      this->world.routes += this->world.has_route ? 1 : 0;
      this->PublishRoute();
    }
    if (this->Draw(0, 40) == 0) {
      this->world.alive = !this->world.alive;
      if (this->world.alive) {
        ++this->world.starts;
        this->world.address =
            "10.0.0." + std::to_string(this->Draw(1, 2)) + ":80";
      }
      this->PublishTarget();
    }
    if (this->world.has_route && this->world.alive && this->Draw(0, 3) == 0) {
      this->flows.push_back(
          {++this->last_port, this->world.routes, this->world.starts});
    }
  }

  /// Applies the first `count` changes that are pending.
  void Learn(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      ++this->scene.revision;
      this->scene.view.OnChanges({{{this->pending[i].first,
                                    {this->scene.revision},
                                    this->pending[i].second}},
                                  {this->scene.revision}},
                                 this->now);
    }
    this->pending.erase(
        this->pending.begin(),
        this->pending.begin() + static_cast<std::ptrdiff_t>(count));
    for (const ViewChange& change : this->scene.view.TakeChanges()) {
      const auto* const target = std::get_if<TargetChange>(&change);
      if (target != nullptr && target->phase == TargetPhase::kServing) {
        this->scene.steering.Watch().OnServing(target->target);
      } else if (target != nullptr && target->phase == TargetPhase::kGone) {
        this->scene.steering.Watch().OnUnpublished(target->target, this->now);
      }
    }
  }
  void Read() {
    this->scene.view.Contact().OnAnswer(this->now);
    this->Learn(this->pending.size());
  }

  /// Probes end at once: a probe is refused unless the target lives at the
  /// address that the view has.
  void Probe() {
    for (const TargetIndex target :
         this->scene.steering.Watch().TakeProbes(this->now)) {
      const std::string address =
          this->scene.view.Targets().At(target).published.address.ToString();
      const bool answers = this->world.alive && address == this->world.address;
      if (this->scene.steering.Watch().OnProbed(
              target,
              answers ? ProbeOutcome::kAnswered : ProbeOutcome::kRefused,
              this->now, this->now)) {
        for (const FlowPacket& packet :
             this->scene.steering.TakeEndedFlows(target, this->now)) {
          this->OnReset(packet.flow.caller.port);
        }
      }
    }
  }

  void SendPackets() {
    for (const OpenFlow& flow : this->flows) {
      if (this->Draw(0, 10) != 0) {
        continue;
      }
      const auto action = this->scene.steering.OnPacket(
          SteeringScene::Data(flow.port, kWord), this->now);
      if (std::holds_alternative<Refuse>(action)) {
        this->OnReset(flow.port);
      }
    }
    std::erase_if(this->flows, [this](const OpenFlow& flow) {
      return this->reset.contains(flow.port);
    });
  }

  void OnReset(std::uint16_t port) {
    const auto flow = std::ranges::find(this->flows, port, &OpenFlow::port);
    if (flow == this->flows.end() || !this->reset.insert(port).second) {
      return;
    }
    const bool open = this->world.has_route && this->world.alive &&
                      flow->route == this->world.routes &&
                      flow->start == this->world.starts;
    ++(open ? this->wrong : this->ended);
  }

  std::mt19937 random;
  SteeringScene scene;
  World world;
  milliseconds now{0};
  milliseconds next_reading{0};
  unsigned version{0};
  /// Changes that the instance hasn't learnt of, in their order.
  std::vector<std::pair<std::string, std::optional<std::string>>> pending;
  std::uint16_t last_port{1000};
  std::vector<OpenFlow> flows;
  std::set<std::uint16_t> reset;  ///< Their ports.
  std::size_t wrong{0};
  std::size_t ended{0};
};

// Guards against any reset of an open flow by what an instance has read late:
// routes and targets that were gone and are published again.
BOOST_DATA_TEST_CASE(a_late_view_resets_no_open_flow,
                     boost::unit_test::data::xrange(kHistories), seed) {
  LateInstance instance(seed);

  BOOST_TEST(instance.Play() == 0U);
  BOOST_TEST(instance.Ended() > 0U);
}

}  // namespace
}  // namespace sassafrasdyke::core

/// The digests and probes of the load model's instances.
#include "rig/load/model_fleet.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

namespace sassafrasdyke::rig {
namespace {

using std::chrono::milliseconds;

struct Digest {
  std::string from;
  std::string to;
  milliseconds sent_at{0};
  milliseconds delay{0};
};

/// Writes down what it gets, and probes the target of word 7 at each tick.
class RecordingBalancer final : public BalancerVariant {
 public:
  RecordingBalancer(std::string domain, std::vector<Digest>& digests,
                    std::vector<bool>& probes)
      : domain(std::move(domain)), digests(digests), probes(probes) {}

  void OnItems(core::ChangeBatch /*batch*/, milliseconds /*now*/) override {}
  std::vector<Forwarded> OnPacket(const core::FlowPacket& /*packet*/,
                                  milliseconds /*now*/) override {
    return {};
  }
  std::vector<Forwarded> OnTick(milliseconds /*now*/) override {
    this->due = {7};
    return {};
  }
  std::vector<std::uint32_t> TakeProbes(milliseconds /*now*/) override {
    return std::exchange(this->due, {});
  }
  std::vector<Forwarded> OnProbed(std::uint32_t word, bool answered,
                                  milliseconds /*started*/,
                                  milliseconds /*now*/) override {
    BOOST_TEST(word == 7U);
    this->probes.push_back(answered);
    return {};
  }
  void OnObservations(const common::Endpoint& /*sender*/,
                      const std::string& domain,
                      const core::PeerObservations& observations,
                      milliseconds now) override {
    this->digests.push_back({domain, this->domain, observations.sent_at,
                             now - observations.sent_at});
  }

 private:
  const std::string domain;
  std::vector<std::uint32_t> due;
  std::vector<Digest>& digests;
  std::vector<bool>& probes;
};

/// Targets of the first domain accept connections.
struct FirstDomainOnly final : public ModelNetwork {
  void Send(std::size_t /*instance_domain*/,
            const Forwarded& /*out*/) override {}
  bool Accepts(std::size_t instance_domain,
               std::uint32_t /*word*/) const override {
    return instance_domain == 0;
  }
};

struct FleetScene {
  FleetScene() {
    this->scenario.domains = {{3, 1, 0}, {3, 1, 0}, {3, 1, 0}};
    this->scenario.domain_delay = milliseconds(4);
    this->scenario.probes = true;
    LoadEvent cut;
    cut.trouble = LoadTrouble::kCut;
    cut.at = milliseconds(4000);
    cut.lasts = milliseconds(4000);
    this->scenario.events = {cut};
  }
  void Run(milliseconds end) {
    ModelFleet fleet(
        this->scenario,
        [this](const ModelPlace& place, const core::Publication&) {
          BOOST_TEST(place.domain_instances == 3U);
          BOOST_TEST(place.instances == 9U);
          return std::make_unique<RecordingBalancer>(
              place.domain, this->digests, this->probes);
        },
        this->events, this->network);
    fleet.Start();
    this->events.RunUntil(end);
  }

  LoadScenario scenario;
  EventQueue events;
  FirstDomainOnly network;
  std::vector<Digest> digests;
  std::vector<bool> probes;
};

// Guards against instances that share more, or less, than the fleet does: ten
// digests a second, half of them within the domain.
BOOST_FIXTURE_TEST_CASE(each_instance_sends_ten_digests_a_second, FleetScene) {
  this->Run(milliseconds(4004));

  // Four seconds of nine instances, where each may have one more or less.
  BOOST_TEST(this->digests.size() >= 351U);
  BOOST_TEST(this->digests.size() <= 369U);
  std::size_t near = 0;
  for (const Digest& digest : this->digests) {
    near += digest.from == digest.to ? 1 : 0;
    const int least = digest.from == digest.to ? 0 : 4;
    BOOST_TEST(digest.delay.count() >= least);
    BOOST_TEST(digest.delay.count() <= least + 1);
  }
  BOOST_TEST(near >= this->digests.size() / 2);
  BOOST_TEST(near < this->digests.size() * 3 / 4);
}

// Without this a domain that is cut off would know the load of the others.
BOOST_FIXTURE_TEST_CASE(no_digest_passes_a_cut, FleetScene) {
  this->Run(milliseconds(12'000));

  std::size_t passed = 0;
  for (const Digest& digest : this->digests) {
    const bool crosses =
        (digest.from == DomainName(0)) != (digest.to == DomainName(0));
    const bool cut = digest.sent_at >= milliseconds(4000) &&
                     digest.sent_at < milliseconds(8000);
    BOOST_TEST((!crosses || !cut));
    passed += crosses ? 1 : 0;
  }
  BOOST_TEST(passed > 0U);
}

// A probe shows what a connection from the instance's own domain would.
BOOST_FIXTURE_TEST_CASE(probes_are_answered_by_the_network, FleetScene) {
  this->Run(milliseconds(1050));

  std::size_t answered = 0;
  for (const bool probe : this->probes) {
    answered += probe ? 1 : 0;
  }
  // Ten ticks of three instances; the others wait for 200 ms.
  BOOST_TEST(answered == 30U);
  BOOST_TEST(this->probes.size() - answered == 48U);
}

}  // namespace
}  // namespace sassafrasdyke::rig

/// The spread of document changes through the fleet.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/document_store.h"
#include "core/fleet/fleet_network.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTargets = 18;
constexpr std::uint64_t kSeed = 3;

struct FleetShape {
  std::uint32_t instances;
  std::uint32_t domains;
};

std::ostream& operator<<(std::ostream& out, const FleetShape& row) {
  return out << row.instances << " in " << row.domains;
}

const FleetShape kShapes[] = {{1, 1}, {2, 1}, {8, 3}, {16, 1}, {28, 7}};

Document ChangedConfiguration(std::uint64_t revision) {
  return WithEntry(ConfigurationOf(1, kTargets), revision, "targets/00002",
                   std::to_string(revision));
}

std::uint32_t CountReaders(FleetNetwork& network, std::uint32_t domain) {
  std::uint32_t readers = 0;
  for (auto& [id, fleet] : network.All()) {
    readers += fleet.identity.domain == domain && fleet.running &&
                       fleet.fleet->Status().reader
                   ? 1
                   : 0;
  }
  return readers;
}

// While a change spreads, instances place flows by different configurations.
BOOST_DATA_TEST_CASE(a_change_is_soon_in_force_everywhere, kShapes, row) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(row.instances, row.domains), kTargets);
  BOOST_REQUIRE(network.InForceEverywhere(1));

  network.Publish(ChangedConfiguration(2));
  network.RunFor(200ms);

  BOOST_TEST(network.InForceEverywhere(2));
}

// Too many readers would exceed the platform's rate limit; with too few, one
// failure would cut a domain off from changes.
BOOST_AUTO_TEST_CASE(each_domain_has_its_published_count_of_readers) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(24, 3), kTargets);

  for (const std::uint32_t domain : {1U, 2U, 3U}) {
    BOOST_TEST(CountReaders(network, domain) == 2U);
  }
}

// Links lose, delay and duplicate messages. Every instance must still reach the
// newest revision, or one would keep sending callers to targets that the others
// have dropped.
BOOST_DATA_TEST_CASE(digests_repair_message_loss,
                     boost::unit_test::data::xrange(1, 6), seed) {
  FleetNetwork network(static_cast<std::uint64_t>(seed),
                       {.delay_between = 20ms,
                        .loss_inside_percent = 10,
                        .loss_between_percent = 10,
                        .repeat_percent = 10});
  network.StartAll(SampleInstances(12, 3), kTargets);
  for (std::uint64_t revision = 2; revision <= 12; ++revision) {
    network.Publish(ChangedConfiguration(revision));
    network.RunFor(300ms);
  }

  network.RunFor(4000ms);

  BOOST_TEST(network.InForceEverywhere(12));
}

// The instances of one domain can't reach the platform, for example because of
// a broken switch. The domain must get changes from the other domains.
BOOST_AUTO_TEST_CASE(a_domain_without_the_platform_learns_from_others) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(12, 3), kTargets);
  for (auto& [id, fleet] : network.All()) {
    fleet.platform_cut = fleet.identity.domain == 2;
  }

  network.Publish(ChangedConfiguration(2));
  network.RunFor(1000ms);

  BOOST_TEST(network.InForceEverywhere(2));
}

// Both readers of a domain die at once. The next instances in rendezvous order
// must take over without an election, or the domain would get no more changes.
BOOST_AUTO_TEST_CASE(dead_readers_are_replaced_by_the_next_ranked) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);
  for (auto& [id, fleet] : network.All()) {
    fleet.running = !fleet.fleet->Status().reader;
  }

  network.RunFor(8000ms);
  network.Publish(ChangedConfiguration(2));
  network.RunFor(500ms);

  BOOST_TEST(CountReaders(network, 1) == 2U);
  BOOST_TEST(network.InForceEverywhere(2));
}

// The platform is down for a long time and returns with an older revision.
// Leases must stay held during the outage, and no revision may revert after it.
BOOST_AUTO_TEST_CASE(an_outage_and_an_older_copy_change_nothing) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 3), kTargets);
  network.Publish(ChangedConfiguration(5));
  network.RunFor(1000ms);

  network.SetPlatformUp(false);
  network.RunFor(30s);
  network.Publish(ChangedConfiguration(4));
  network.SetPlatformUp(true);
  network.RunFor(5000ms);

  BOOST_TEST(network.InForceEverywhere(5));
  for (auto& [id, fleet] : network.All()) {
    BOOST_TEST((fleet.view->lease == Lease::kHeld));
  }
}

// An operator publishes an invalid document. Each reader must refuse it once
// and not relay it, and all instances must accept the next valid one.
BOOST_AUTO_TEST_CASE(an_invalid_document_is_not_relayed) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(8, 1), kTargets);

  network.Publish(
      WithEntry(ConfigurationOf(1, kTargets), 2, "targets/00002", "invalid"));
  network.RunFor(5000ms);

  std::size_t refusals = 0;
  for (auto& [id, fleet] : network.All()) {
    refusals += fleet.fleet->Status().documents_refused;
  }
  BOOST_TEST(refusals == 2U);
  BOOST_TEST(network.InForceEverywhere(1));
  network.Publish(ChangedConfiguration(3));
  network.RunFor(500ms);
  BOOST_TEST(network.InForceEverywhere(3));
}

// A peer with corrupted memory sends a delta whose content doesn't match its
// digest. It must be refused and the correct content requested.
BOOST_AUTO_TEST_CASE(a_delta_with_a_wrong_digest_is_refused_and_refetched) {
  FleetNetwork network(kSeed);
  network.StartAll(SampleInstances(4, 1), kTargets);
  DocumentDelta wrong;
  wrong.from.value = 1;
  wrong.to.value = 2;
  wrong.digest = 12345;
  wrong.changed.push_back({"targets/00001", "mixed up"});

  network.Inject(2, 1, wrong);
  network.RunFor(100ms);

  BOOST_TEST(network.Of(1).fleet->Status().configuration.revision.value == 1U);
  BOOST_TEST(network.Of(1).fleet->Status().deltas_refused == 1U);
  network.Publish(ChangedConfiguration(3));
  network.RunFor(4000ms);
  BOOST_TEST(network.InForceEverywhere(3));
}

/// Refuses every change of a configuration in force.
class NoChangeReader final : public DocumentReader {
 public:
  tl::expected<Configuration, DocumentFaults> ReadConfiguration(
      const Document& document) const override {
    return this->sample.ReadConfiguration(document);
  }
  tl::expected<InstanceList, DocumentFaults> ReadInstances(
      const Document& document) const override {
    return this->sample.ReadInstances(document);
  }
  DocumentFaults CheckChange(const Configuration& /*in_force*/,
                             const Configuration& /*next*/) const override {
    return {{"/hash_seed", "may not change"}};
  }

 private:
  SampleReader sample;
};

// The fleet refuses a configuration with a different hash seed, since it would
// move every flow. An instance that joins afterwards reads only the refused
// revision from the platform. If it accepted that, it alone would forward all
// callers' packets elsewhere than its peers do.
BOOST_AUTO_TEST_CASE(a_joining_instance_follows_what_its_peers_have_in_force) {
  const NoChangeReader reader;
  const auto fleet = MakeFleet({{1}, {1}, {1}}, reader, kSeed);
  FleetOutbox outbox;
  fleet->OnPlatformDocument(ConfigurationOf(8, kTargets), 0ms, outbox);
  fleet->OnPlatformDocument(InstancesOf(1, SampleInstances(2, 1)), 0ms, outbox);
  BOOST_TEST(outbox.configuration == nullptr);
  const Document seven = ConfigurationOf(7, kTargets);
  DocumentStore peer(DocumentKind::kConfiguration);
  peer.Replace(seven);

  fleet->OnPeerMessage({2}, DocumentCopy{seven, peer.Digest().digest}, 10ms,
                       outbox);
  fleet->OnTick(20ms, outbox);

  BOOST_REQUIRE(outbox.configuration != nullptr);
  BOOST_TEST(outbox.configuration->revision.value == 7U);
  BOOST_TEST(fleet->Status().documents_refused == 1U);
}

}  // namespace
}  // namespace sassafrasdyke::core

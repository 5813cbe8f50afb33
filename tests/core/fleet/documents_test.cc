/// Handling of documents from the platform.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "core/fleet/fleet.h"
#include "core/fleet/sample_documents.h"

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTargets = 18;

/// A fleet of one: the instance list in force names only this instance.
std::unique_ptr<Fleet> FleetOf(const SampleReader& reader) {
  auto fleet = MakeFleet({{1}, {1}, {1}}, reader, 7);
  FleetOutbox outbox;
  fleet->OnPlatformDocument(InstancesOf(1, {{.id = 1}}), 0ms, outbox);
  return fleet;
}

// A valid document must come into force at once and be logged, or operators
// couldn't tell which configuration an instance uses.
BOOST_AUTO_TEST_CASE(a_published_document_is_in_force_and_logged) {
  const SampleReader reader;
  const auto fleet = FleetOf(reader);
  FleetOutbox outbox;

  fleet->OnPlatformDocument(ConfigurationOf(7, kTargets), 1ms, outbox);

  BOOST_REQUIRE(outbox.configuration != nullptr);
  BOOST_TEST(outbox.configuration->revision.value == 7U);
  const auto* accepted = std::get_if<DocumentAccepted>(&outbox.decisions.at(0));
  BOOST_REQUIRE(accepted != nullptr);
  BOOST_TEST(accepted->revision.value == 7U);
  BOOST_TEST(fleet->Status().configuration.revision.value == 7U);
}

// The platform's service fails over to a lagging replica and serves an older
// revision, or the same one again. Accepting it would bring back a removed
// target.
BOOST_DATA_TEST_CASE(an_older_revision_is_ignored,
                     boost::unit_test::data::make({1U, 6U, 7U}), revision) {
  const SampleReader reader;
  const auto fleet = FleetOf(reader);
  FleetOutbox before;
  fleet->OnPlatformDocument(ConfigurationOf(7, kTargets), 1ms, before);
  FleetOutbox outbox;

  fleet->OnPlatformDocument(ConfigurationOf(revision, kTargets), 2ms, outbox);

  BOOST_TEST(outbox.configuration == nullptr);
  BOOST_TEST(outbox.decisions.empty());
  BOOST_TEST(fleet->Status().configuration.revision.value == 7U);
}

// An operator publishes an invalid document. The last valid one must stay in
// force, and the error must be logged once, not at each poll.
BOOST_AUTO_TEST_CASE(an_invalid_document_is_refused_and_logged_once) {
  const SampleReader reader;
  const auto fleet = FleetOf(reader);
  FleetOutbox before;
  fleet->OnPlatformDocument(ConfigurationOf(7, kTargets), 1ms, before);
  FleetOutbox outbox;
  const Document bad =
      WithEntry(ConfigurationOf(8, kTargets), 8, "targets/00003", "invalid");

  fleet->OnPlatformDocument(bad, 2ms, outbox);
  fleet->OnPlatformDocument(bad, 3ms, outbox);

  BOOST_TEST(outbox.configuration == nullptr);
  BOOST_REQUIRE(outbox.decisions.size() == 1U);
  const auto* refused = std::get_if<DocumentRefused>(&outbox.decisions.at(0));
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST(refused->faults.at(0).path == "/targets/00003");
  BOOST_TEST(fleet->Status().configuration.revision.value == 7U);
  BOOST_TEST(fleet->Status().documents_refused == 1U);
}

// A view that ignored the published state would place new flows on instances
// that are leaving.
BOOST_AUTO_TEST_CASE(the_instance_list_becomes_the_view) {
  const SampleReader reader;
  const auto fleet = FleetOf(reader);
  FleetOutbox outbox;

  fleet->OnPlatformDocument(
      InstancesOf(3, {{.id = 1}, {.id = 2, .leaving = true}, {.id = 3}}), 1ms,
      outbox);

  BOOST_REQUIRE(outbox.view.has_value());
  BOOST_REQUIRE(outbox.view->instances.size() == 3U);
  BOOST_TEST((outbox.view->instances[0].use == InstanceUse::kOwner));
  BOOST_TEST((outbox.view->instances[1].use == InstanceUse::kLeaving));
}

}  // namespace
}  // namespace sassafrasdyke::core

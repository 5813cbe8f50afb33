/// The published documents: what is read, and what is refused.
#include "config/configuration_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "config/document_splitter.h"
#include "config/published_keys.h"
#include "config/published_texts.h"

namespace sassafrasdyke::config {
namespace {

using namespace std::chrono_literals;

core::Document Split(core::DocumentKind kind, const std::string& text) {
  const auto document = SplitDocument(kind, text);
  BOOST_REQUIRE(document.has_value());
  return *document;
}

core::Configuration Read(const std::string& text) {
  const auto configuration = ConfigurationReader().ReadConfiguration(
      Split(core::DocumentKind::kConfiguration, text));
  BOOST_REQUIRE(configuration.has_value());
  return *configuration;
}

BOOST_AUTO_TEST_CASE(splits_into_sorted_entries) {
  const core::Document document =
      Split(core::DocumentKind::kConfiguration, kConfiguration);

  std::string paths;
  for (const core::DocumentEntry& entry : document.entries) {
    paths += entry.path + " ";
  }
  BOOST_TEST(document.revision.value == 7U);
  BOOST_TEST(paths ==
             "defaults domains/north-1 domains/north-2 exceptions fleet "
             "hash_seed services/diary services/handover targets/diary-01 "
             "targets/handover-01 ");
  BOOST_TEST(document.entries[1].body == R"({"id":1,"region":"north"})");
}

const std::string kMisshapen[] = {"[]", "7",
                                  "{\"revision\": 1, \"targets\": 1}",
                                  "{\"revision\": 1, \"instances\": {}}"};

BOOST_DATA_TEST_CASE(refuses_to_split_another_shape, kMisshapen, text) {
  BOOST_TEST(
      !SplitDocument(core::DocumentKind::kConfiguration, text).has_value());
}

BOOST_AUTO_TEST_CASE(reads_a_configuration_sorted_by_id) {
  const core::Configuration configuration = Read(kConfiguration);

  BOOST_TEST(configuration.revision.value == 7U);
  BOOST_TEST(configuration.fleet == "lensmoor");
  BOOST_TEST(configuration.hash_seed == 81985529216486895U);
  BOOST_TEST((configuration.policy.fabric_scope == core::FabricScope::kDomain));
  BOOST_TEST(configuration.policy.readers_per_domain == 3U);
  BOOST_TEST(configuration.policy.watchers == core::FleetPolicy().watchers);
  BOOST_REQUIRE(configuration.domains.size() == 2U);
  BOOST_TEST(configuration.domains[1].name == "north-2");
  BOOST_REQUIRE(configuration.services.size() == 2U);
  BOOST_TEST(configuration.services[0].name == "handover");
  BOOST_REQUIRE(configuration.targets.size() == 2U);
  BOOST_TEST(configuration.targets[0].service.value == 1U);
  BOOST_TEST(configuration.targets[0].domain.value == 2U);
  BOOST_TEST(configuration.targets[0].health.port == 0U);
  BOOST_TEST((configuration.targets[1].state == core::TargetState::kDraining));
  BOOST_TEST(configuration.targets[1].health.ToString() == "127.1.1.1:8080");
}

BOOST_AUTO_TEST_CASE(defaults_hold_but_for_the_exceptions) {
  const core::Configuration configuration = Read(kConfiguration);

  BOOST_TEST(configuration.services[0].policy.deviate_by == 3U);
  BOOST_TEST(configuration.services[1].policy.deviate_by == 4U);
  BOOST_TEST((configuration.services[1].policy.copy_after == 1500ms));
  BOOST_TEST(configuration.targets[0].weight == 50U);
  BOOST_TEST(configuration.targets[1].weight == 100U);
  BOOST_REQUIRE(configuration.exceptions.size() == 2U);
  BOOST_TEST(configuration.exceptions[0].subject == "services/diary");
  BOOST_TEST(configuration.exceptions[0].keys[0] == "deviate_by");
  BOOST_TEST(configuration.exceptions[0].reason == "Long feeds.");
}

BOOST_AUTO_TEST_CASE(reads_an_instance_list_sorted_by_id) {
  const auto list = ConfigurationReader().ReadInstances(
      Split(core::DocumentKind::kInstances, kInstances));

  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->revision.value == 12U);
  BOOST_REQUIRE(list->instances.size() == 2U);
  BOOST_TEST(list->instances[0].incarnation.value == 3U);
  BOOST_TEST((list->instances[0].state == core::InstanceState::kLive));
  BOOST_TEST((list->instances[1].state == core::InstanceState::kLeaving));
  BOOST_TEST(list->instances[1].control.ToString() == "127.0.1.2:6081");
}

struct Fault {
  std::string patch;  ///< Merged into the document; null removes a key.
  std::string path;   ///< Where the only fault must be.
};

std::ostream& operator<<(std::ostream& out, const Fault& row) {
  return out << row.patch;
}

const Fault kFaults[] = {
    {R"({"revision": 0})", "/revision"},
    {R"({"revision": null})", "/revision"},
    {R"({"revision": "7"})", "/revision"},
    {R"({"fleet": null})", "/fleet"},
    {R"({"fleet": "a b"})", "/fleet"},
    {R"({"hash_seed": null})", "/hash_seed"},
    {R"({"hash_seed": -1})", "/hash_seed"},
    {R"({"hsah_seed": 1})", "/hsah_seed"},
    {R"({"defaults": 1})", "/defaults"},
    {R"({"defaults": {"serivce": {}}})", "/defaults/serivce"},
    {R"({"defaults": {"service": {"spill": 1}}})", "/defaults/service/spill"},
    {R"({"defaults": {"service": {"placement": "least-laoded"}}})",
     "/defaults/service/placement"},
    {R"({"defaults": {"service": {"ramp": 1}}})", "/defaults/service/ramp"},
    {R"({"defaults": {"service": {"eject_share_percent": 101}}})",
     "/defaults/service/eject_share_percent"},
    {R"({"defaults": {"service": {"partitions": 0}}})",
     "/defaults/service/partitions"},
    {R"({"defaults": {"fleet": {"lease_ms": 500}}})",
     "/defaults/fleet/lease_ms"},
    {R"({"defaults": {"fleet": {"suspect_after_ms": 500}}})",
     "/defaults/fleet/suspect_after_ms"},
    {R"({"defaults": {"fleet": {"copy_bytes_per_second": 9001}}})",
     "/defaults/fleet/copy_bytes_per_second"},
    {R"({"domains": {"North": {"id": 3, "region": "north"}}})",
     "/domains/North"},
    {R"({"domains": {"north-3": {"id": 2, "region": "north"}}})",
     "/domains/north-3/id"},
    {R"({"domains": {"north-3": {"id": 3}}})", "/domains/north-3/region"},
    {R"({"services": {"other": {"id": 1, "address": "192.0.2.11:443"}}})",
     "/services/other/id"},
    {R"({"services": {"other": {"id": 3, "address": "192.0.2.10:443"}}})",
     "/services/other/address"},
    {R"({"services": {"other": {"id": 3, "address": "192.0.2.10"}}})",
     "/services/other/address"},
    {R"({"targets": {"diary-01": {"id": 101}}})", "/targets/handover-01/id"},
    {R"({"targets": {"diary-01": {"id": 0}}})", "/targets/diary-01/id"},
    {R"({"targets": {"diary-01": {"weight": 0}}})", "/targets/diary-01/weight"},
    {R"({"targets": {"diary-01": {"state": "gone"}}})",
     "/targets/diary-01/state"},
    {R"({"targets": {"diary-01": {"service": "dairy"}}})",
     "/targets/diary-01/service"},
    {R"({"targets": {"diary-01": {"domain": "north-9"}}})",
     "/targets/diary-01/domain"},
    {R"({"targets": {"diary-01": {"tunnel": "127.1.1.2:6080"}}})",
     "/targets/handover-01/tunnel"},
    {R"({"targets": {"diary-01": {"wieght": 5}}})", "/targets/diary-01/wieght"},
    {R"({"targets": {"diary-01": 5}})", "/targets/diary-01"},
    {R"({"exceptions": {}})", "/exceptions"},
    {R"({"exceptions": [1]})", "/exceptions/0"},
};

BOOST_DATA_TEST_CASE(refuses_a_wrong_entry_by_its_path, kFaults, row) {
  const auto read = ReadConfigurationText(Patched(kConfiguration, row.patch));

  BOOST_REQUIRE(!read.has_value());
  BOOST_REQUIRE(read.error().size() == 1U);
  BOOST_TEST(read.error()[0].path == row.path);
  BOOST_TEST(!read.error()[0].what.empty());
}

struct ExceptionFault {
  std::string exceptions;
  std::string path;
};

std::ostream& operator<<(std::ostream& out, const ExceptionFault& row) {
  return out << row.exceptions;
}

const ExceptionFault kExceptionFaults[] = {
    {R"([{"subject": "services/diary", "set": {"deviate_by": 4}}])",
     "/exceptions/0/reason"},
    {R"([{"subject": "services/diary", "set": {"deviate_by": 4},
          "reason": " \t"}])",
     "/exceptions/0/reason"},
    {R"([{"subject": "services/dairy", "set": {"deviate_by": 4},
          "reason": "r"}])",
     "/exceptions/0/subject"},
    {R"([{"subject": "services", "set": {"deviate_by": 4}, "reason": "r"}])",
     "/exceptions/0/subject"},
    {R"([{"subject": "domains/north-1", "set": {"id": 4}, "reason": "r"}])",
     "/exceptions/0/subject"},
    {R"([{"subject": "services/diary", "set": {}, "reason": "r"}])",
     "/exceptions/0/set"},
    {R"([{"subject": "services/diary", "set": {"deviate_bi": 4},
          "reason": "r"}])",
     "/exceptions/0/set/deviate_bi"},
    {R"([{"subject": "services/diary", "set": {"deviate_by": 3},
          "reason": "r"}])",
     "/exceptions/0/set/deviate_by"},
    {R"([{"subject": "services/diary", "set": {"deviate_by": "4"},
          "reason": "r"}])",
     "/exceptions/0/set/deviate_by"},
    {R"([{"subject": "targets/diary-01", "set": {"id": 4}, "reason": "r"}])",
     "/exceptions/0/set/id"},
    {R"([{"subject": "targets/diary-01", "set": {"weight": 100},
          "reason": "r"}])",
     "/exceptions/0/set/weight"},
    {R"([{"subject": "services/diary", "set": {"spill": false}, "reason": "r"},
         {"subject": "services/diary", "set": {"spill": true}, "reason": "s"}])",
     "/exceptions/1/set/spill"},
    {R"([{"subject": "services/diary", "set": {"established_idle_ms": 1000},
          "reason": "r"}])",
     "/services/diary"},
};

BOOST_DATA_TEST_CASE(refuses_an_exception_that_is_not_one, kExceptionFaults,
                     row) {
  const auto read = ReadConfigurationText(
      Patched(kConfiguration, "{\"exceptions\": " + row.exceptions + "}"));

  BOOST_REQUIRE(!read.has_value());
  BOOST_REQUIRE(read.error().size() == 1U);
  BOOST_TEST(read.error()[0].path == row.path);
}

const Fault kInstanceFaults[] = {
    {R"({"instances": {"a1": {"id": 2}}})", "/instances/b1/id"},
    {R"({"instances": {"a1": {"incarnation": 0}}})",
     "/instances/a1/incarnation"},
    {R"({"instances": {"a1": {"tunnel": "127.0.1.2:6080"}}})",
     "/instances/b1/tunnel"},
    {R"({"instances": {"a1": {"control": "127.0.1.2:6081"}}})",
     "/instances/b1/control"},
    {R"({"instances": {"a1": {"state": "dead"}}})", "/instances/a1/state"},
    {R"({"instances": {"a 1": {}}})", "/instances/a 1"},
    {R"({"fleet": "x"})", "/fleet"},
    {R"({"instances": 4})", "/instances"},
};

BOOST_DATA_TEST_CASE(refuses_a_wrong_instance_by_its_path, kInstanceFaults,
                     row) {
  const auto read = ReadInstancesText(Patched(kInstances, row.patch));

  BOOST_REQUIRE(!read.has_value());
  BOOST_REQUIRE(read.error().size() == 1U);
  BOOST_TEST(read.error()[0].path == row.path);
}

BOOST_AUTO_TEST_CASE(reports_the_faults_of_all_entries_at_once) {
  const auto read = ReadConfigurationText(Patched(
      kConfiguration,
      R"({"extra": 1, "hash_seed": "x", "targets": {"diary-01": {"id": "x"}},
          "exceptions": [{"subject": "x"}]})"));

  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().size() == 5U);
}

struct ForeignEntry {
  std::string path;
  std::string body;
};

std::ostream& operator<<(std::ostream& out, const ForeignEntry& row) {
  return out << row.path;
}

const ForeignEntry kForeignEntries[] = {
    {"", "1"},
    {"/", "1"},
    {"fleet", "\"again\""},
    {"targets/", "{}"},
    {"targets/a/b", "{}"},
    {"other/a", "{}"},
    {"targets/a", ""},
    {"targets/a", "{\"id\":"},
    {"targets/a", std::string(1000, '[')},
    {"targets/a", "{\"id\":1,\"id\":2}"},
    {"targets/a", "\xFF"},
};

// A peer runs another release, or its memory is broken, and its copy of a
// document holds entries that the platform never published. Taking them would
// put a configuration in force that no operator wrote.
BOOST_DATA_TEST_CASE(refuses_entries_that_no_platform_publishes,
                     kForeignEntries, row) {
  core::Document document =
      Split(core::DocumentKind::kConfiguration, kConfiguration);
  document.entries.push_back({row.path, row.body});
  core::Document list = Split(core::DocumentKind::kInstances, kInstances);
  list.entries.push_back({row.path, row.body});

  BOOST_TEST(!ConfigurationReader().ReadConfiguration(document).has_value());
  BOOST_TEST(!ConfigurationReader().ReadInstances(list).has_value());
}

struct Change {
  std::string patch;
  std::size_t faults;
};

std::ostream& operator<<(std::ostream& out, const Change& row) {
  return out << row.patch;
}

const Change kChanges[] = {
    {R"({"revision": 8})", 0},
    {R"({"defaults": {"service": {"deviate_by": 9}}})", 0},
    {R"({"fleet": "other"})", 1},
    {R"({"hash_seed": 1})", 1},
    {R"({"defaults": {"service": {"partitions": 32}}})", 2},
    {R"({"exceptions": [{"subject": "services/diary",
         "set": {"partitions": 32}, "reason": "r"}]})",
     1},
};

// An operator changes what decides who owns a flow while flows are open. Most
// callers would lose their connections within a second, though the new
// configuration is valid by itself.
BOOST_DATA_TEST_CASE(refuses_a_change_of_what_is_fixed, kChanges, row) {
  const auto faults = ConfigurationReader().CheckChange(
      Read(kConfiguration), Read(Patched(kConfiguration, row.patch)));

  BOOST_TEST(faults.size() == row.faults);
}

const std::string kNextRevisions[] = {
    R"({"revision": 8})",
    R"({"targets": {"diary-01": {"weight": 70}}})",
    R"({"targets": {"diary-01": null}, "exceptions": []})",
    R"({"targets": {"diary-01": {"weight": 0}}})",
    R"({"services": {"diary": {"id": 3}}})",
    R"({"domains": {"north-1": null}})",
    R"({"exceptions": []})",
    R"({"targets": {"handover-02": {"id": 101, "service": "handover",
        "domain": "north-2", "tunnel": "127.1.1.3:6080"}}})",
};

std::string Shown(
    const tl::expected<core::Configuration, core::DocumentFaults>& read) {
  std::string shown;
  if (!read) {
    for (const core::DocumentFault& fault : read.error()) {
      shown += fault.path + " " + fault.what + "; ";
    }
    return shown;
  }
  for (const core::Target& target : read->targets) {
    shown += std::to_string(target.id.value) + ":" +
             std::to_string(target.service.value) + ":" +
             std::to_string(target.domain.value) + ":" +
             std::to_string(target.weight) + " ";
  }
  return shown;
}

// A reader keeps what it read of targets. A revision that it reads after
// another must come out as if it had never seen the other, else two instances
// with the same revision place flows differently.
BOOST_DATA_TEST_CASE(a_revision_does_not_depend_on_the_one_before,
                     kNextRevisions, patch) {
  const core::Document before =
      Split(core::DocumentKind::kConfiguration, kConfiguration);
  const core::Document next =
      Split(core::DocumentKind::kConfiguration, Patched(kConfiguration, patch));
  const ConfigurationReader reader;
  BOOST_REQUIRE(reader.ReadConfiguration(before).has_value());

  const std::string seen = Shown(reader.ReadConfiguration(next));
  const std::string again = Shown(reader.ReadConfiguration(before));

  BOOST_TEST(seen == Shown(ConfigurationReader().ReadConfiguration(next)));
  BOOST_TEST(again == Shown(ConfigurationReader().ReadConfiguration(before)));
}

BOOST_AUTO_TEST_CASE(reference_lists_every_key) {
  std::size_t adjustable = 0;
  for (const KeyReference& reference : ConfigurationReference()) {
    BOOST_TEST(!reference.doc.empty());
    BOOST_TEST(!reference.format.type.empty());
    adjustable += reference.use == KeyUse::kAdjustable ? 1 : 0;
  }
  BOOST_TEST(adjustable == 16U);
  BOOST_TEST(InstancesReference().size() == 7U);
}

}  // namespace
}  // namespace sassafrasdyke::config

/// The settings of a process: what is read, and what is refused.
#include "config/settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::config {
namespace {

const std::string kSettings = R"({
  // A comment.
  "instance": 3, "domain": 2,
  "tunnel":   { "listen": "127.0.1.3:6080" },
  "control":  { "listen": "127.0.1.3:6081" },
  "metrics":  { "listen": "0.0.0.0:9100" },
  "platform": { "url": "http://127.0.0.1:8500" },
  "fabric":   { "return": "127.0.0.1:6000" },
  "log":      { "level": "debug" }
})";

BOOST_AUTO_TEST_CASE(reads_every_key_and_keeps_defaults) {
  const auto settings = ReadSettings(kSettings);

  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->instance.value == 3U);
  BOOST_TEST(settings->domain.value == 2U);
  BOOST_TEST(settings->tunnel.listen.ToString() == "127.0.1.3:6080");
  BOOST_TEST(settings->control.listen.ToString() == "127.0.1.3:6081");
  BOOST_TEST(!settings->control.tls.has_value());
  BOOST_TEST(settings->metrics.listen.ToString() == "0.0.0.0:9100");
  BOOST_TEST(settings->platform.url == "http://127.0.0.1:8500");
  BOOST_TEST(settings->fabric.return_to.ToString() == "127.0.0.1:6000");
  BOOST_TEST((settings->log.level == LogLevel::kDebug));
  BOOST_TEST(settings->log.file.empty());
}

struct Fault {
  std::string patch;  ///< Merged into the settings; null removes a key.
  std::string path;   ///< Where the only fault must be.
};

std::ostream& operator<<(std::ostream& out, const Fault& row) {
  return out << row.patch;
}

const Fault kFaults[] = {
    {R"({"instance": 0})", "/instance"},
    {R"({"instance": -1})", "/instance"},
    {R"({"instance": 4294967296})", "/instance"},
    {R"({"instance": 1.5})", "/instance"},
    {R"({"instance": "1"})", "/instance"},
    {R"({"domain": null})", "/domain"},
    {R"({"tunnel": null})", "/tunnel"},
    {R"({"tunnel": 1})", "/tunnel"},
    {R"({"tunnel": {"listen": "127.0.0.1"}})", "/tunnel/listen"},
    {R"({"tunnel": {"listen": "127.0.0.1:0"}})", "/tunnel/listen"},
    {R"({"tunnel": {"listen": "0.0.0.0:6080"}})", "/tunnel/listen"},
    {R"({"tunnel": {"listen": "[::]:6080"}})", "/tunnel/listen"},
    {R"({"tunnel": {"listen": "name:6080"}})", "/tunnel/listen"},
    {R"({"tunnel": {"listne": "127.0.0.1:1"}})", "/tunnel/listne"},
    {R"({"control": {"tls": {"key": "k", "authority": "a"}}})",
     "/control/tls/certificate"},
    {R"({"platform": {"url": "127.0.0.1:8500"}})", "/platform/url"},
    {R"({"platform": {"url": "http://a b"}})", "/platform/url"},
    {R"({"log": {"level": "loud"}})", "/log/level"},
    {R"({"log": {"level": 1}})", "/log/level"},
    {R"({"a/b~c": 1})", "/a~1b~0c"},
};

BOOST_DATA_TEST_CASE(refuses_a_wrong_setting_by_its_path, kFaults, row) {
  auto json = nlohmann::json::parse(kSettings, nullptr, true, true);
  json.merge_patch(nlohmann::json::parse(row.patch));

  const auto settings = ReadSettings(json.dump());

  BOOST_REQUIRE(!settings.has_value());
  BOOST_REQUIRE(settings.error().size() == 1U);
  BOOST_TEST(settings.error()[0].path == row.path);
  BOOST_TEST(!settings.error()[0].what.empty());
}

BOOST_AUTO_TEST_CASE(reports_all_faults_at_once) {
  const auto settings = ReadSettings("{}");

  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().size() == 7U);
}

// An operator copies a block and forgets to change its key. Keeping either of
// the two would run the process with settings that nobody meant.
BOOST_AUTO_TEST_CASE(refuses_a_key_that_stands_twice) {
  const auto settings = ReadSettings(R"({"log": {"file": "a", "file": "b"}})");

  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error()[0].path == "/log/file");
}

const std::string kBrokenTexts[] = {"",
                                    "{",
                                    "[]",
                                    "1",
                                    "null",
                                    "{\"instance\": 1e999}",
                                    "\xFF\xFE",
                                    std::string(100'000, '['),
                                    "{\"a\": \"\xC3\x28\"}"};

BOOST_DATA_TEST_CASE(refuses_what_is_not_an_object_of_json, kBrokenTexts,
                     text) {
  const auto settings = ReadSettings(text);

  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(!settings.error().empty());
}

BOOST_AUTO_TEST_CASE(reference_lists_every_key_with_its_default) {
  const std::vector<KeyReference> references = SettingsReference();

  bool seen = false;
  for (const KeyReference& reference : references) {
    BOOST_TEST(!reference.doc.empty());
    if (reference.path == "log.level") {
      seen = true;
      BOOST_TEST(reference.default_value == "\"info\"");
      BOOST_TEST(reference.format.range == "trace, debug, info, warn, error");
    }
  }
  BOOST_TEST(seen);
}

}  // namespace
}  // namespace sassafrasdyke::config

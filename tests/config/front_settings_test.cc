/// Settings of an instance on the users' platform.
#include "config/front_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::config {
namespace {

using namespace std::chrono_literals;

const std::string kSettings = R"({
  // As the platform fills them in.
  "instance": "front-north-a-1", "domain": "north-a", "region": "north",
  "listen": {"packets": "10.1.0.10:8172", "readiness": "10.1.0.10:8167",
             "peers": "10.1.0.10:7720", "metrics": "10.1.0.10:7735"},
  "store": "10.200.1.7:8169", "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
  "times": {"grace_s": 6, "flow_life_s": 60, "apply_ms": 3000,
            "drain_ms": 3000}})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_CASE(settings_are_read) {
  const auto settings = ReadFrontSettings(kSettings);

  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->instance == "front-north-a-1");
  BOOST_TEST(settings->listen.peers.ToString() == "10.1.0.10:7720");
  BOOST_TEST(settings->seeds.size() == 2U);
  BOOST_TEST((settings->times.grace == 6s));
  BOOST_TEST((settings->times.apply == 3s));
  BOOST_TEST((settings->times.drain == 3s));
}

struct Bounds {
  std::string times;
  std::chrono::milliseconds grace;
  std::chrono::milliseconds apply;
};

std::ostream& operator<<(std::ostream& out, const Bounds& row) {
  return out << row.times;
}

const Bounds kBounds[] = {
    {R"("grace_s": 2.5, "apply_ms": 1500.0)", 2500ms, 1500ms},
    {R"("grace_s": 4)", 4s, 3s},
    {"", 6s, 3s},
};

// The platform gives its bounds as whole numbers or fractions, and may leave
// some out. An instance that refused to start for that would serve nobody.
BOOST_DATA_TEST_CASE(bounds_may_be_fractions_or_missing, kBounds, row) {
  const std::size_t at = kSettings.find("\"grace_s\"");
  const std::string text = kSettings.substr(0, at) + row.times + "}}";

  const auto settings = ReadFrontSettings(text);

  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST((settings->times.grace == row.grace));
  BOOST_TEST((settings->times.apply == row.apply));
}

struct Wrong {
  std::string from;
  std::string to;
  std::string path;
};

std::ostream& operator<<(std::ostream& out, const Wrong& row) {
  return out << row.from << " to " << row.to;
}

const Wrong kWrong[] = {
    {"\"apply_ms\": 3000", "\"apply_ms\": -1", "/times/apply_ms"},
    {"\"apply_ms\": 3000", "\"apply_ms\": \"3000\"", "/times/apply_ms"},
    {"\"grace_s\": 6", "\"grace_s\": 1e9", "/times/grace_s"},
    {"10.200.1.7:8169", "store.example:8169", "/store"},
    {"10.1.0.10:8172", "10.1.0.10", "/listen/packets"},
    {"\"times\"", "\"load\": {\"locality\": \"headroom\"}, \"times\"",
     "/load/locality"},
};

// A wrong value names its place, so that nobody has to guess which.
BOOST_DATA_TEST_CASE(a_wrong_setting_is_named, kWrong, row) {
  const auto settings = ReadFrontSettings(With(row.from, row.to));

  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().front().path.find(row.path) != std::string::npos,
             settings.error().front().path);
}

}  // namespace
}  // namespace sassafrasdyke::config

/// What the settings switch on, and what operators see of shared load.
#include "front/shared_parts.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "front/front_log.h"
#include "front/front_metrics.h"
#include "front/log_pipe.h"

namespace sassafrasdyke::front {
namespace {

using namespace std::chrono_literals;

// Guards against an instance that measures, sends or takes load while the
// settings leave it off.
BOOST_AUTO_TEST_CASE(without_share_load_nothing_is_observed) {
  config::FrontSettings settings;
  settings.domain = "north";
  settings.load.eject_targets = true;
  settings.load.locality = config::LocalityMode::kHeadroom;
  const core::TargetTable targets(60s);
  core::TargetWatch watch;
  SharedParts parts(settings, targets, 1);
  parts.OnTick(watch, 27, 1s);

  BOOST_TEST(parts.Observations().observers.empty());
  BOOST_TEST(parts.Exchanges().empty());
  BOOST_TEST(!parts.Observations().load.DomainInstances().has_value());
  BOOST_TEST(parts.DomainLoads().empty());
  BOOST_TEST(FrontMetrics().Text({}).find("sassafrasdyke_domain") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(with_share_load_it_is_measured_and_exchanged) {
  config::FrontSettings settings;
  settings.domain = "north";
  settings.load.share_load = true;
  const core::TargetTable targets(60s);
  core::TargetWatch watch;
  SharedParts parts(settings, targets, 1);
  parts.OnTick(watch, 27, 1s);

  BOOST_TEST(parts.Observations().observers.size() == 1U);
  BOOST_TEST(parts.Exchanges().size() == 1U);
  BOOST_TEST(*parts.Observations().load.DomainInstances() == 27U);
  BOOST_REQUIRE(parts.DomainLoads().size() == 1U);
  BOOST_TEST(parts.DomainLoads()[0].domain == "north");
}

BOOST_AUTO_TEST_CASE(the_load_of_each_domain_is_shown) {
  FrontState state;
  state.domain_loads = {{{"south", 120.5, 3.5, {}, false, 250ms, 13}, 80}};
  const std::string text = FrontMetrics().Text(state);

  for (const std::string line :
       {"domain_concurrency{domain=\"south\"} 3.5",
        "domain_slots{domain=\"south\"} 80",
        "domain_requests_per_second{domain=\"south\"} 120.5",
        "domain_reachable{domain=\"south\"} 0",
        "load_age_seconds{domain=\"south\"} 0.25"}) {
    BOOST_TEST(text.find("sassafrasdyke_" + line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_CASE(unreachable_domains_are_told_in_their_channel) {
  ev::dynamic_loop loop;
  const LogPipe pipe;
  LineLog lines(loop, pipe.WriteEnd(), {});
  FrontLog log(lines);
  log.OnReachability({"south", 120.5, 3.5, {}, false, 250ms, 13}, 80, 5s);
  lines.OnTick(5s);
  const auto line = nlohmann::json::parse(pipe.ReadAll());

  BOOST_TEST(line["channel"] == "load");
  BOOST_TEST(line["event"] == "domain-unreachable");
  BOOST_TEST(line["about"] == "south");
  BOOST_TEST(line["concurrency"] == 3.5);
  BOOST_TEST(line["slots"] == 80);
  BOOST_TEST(line["age_ms"] == 250);
  BOOST_TEST(line["reporters"] == 13);
}

}  // namespace
}  // namespace sassafrasdyke::front

/// Scenario files: the ones in the examples are read, faulty ones refused.
#include "rig/scenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

namespace sassafrasdyke::rig {
namespace {

const std::string kFaulty[] = {
    "",
    "[]",
    R"({"name": "x"})",
    R"({"domains": [{"name": "d"}], "services": [{"name": "s"}]})",
    R"({"domains": [{"nmae": "d"}],
        "services": [{"name": "s", "address": "192.0.2.1:1"}]})",
    R"({"domains": [{"name": "d"}],
        "services": [{"name": "s", "address": "192.0.2.1:1"}],
        "timeline": [{"do": "dance"}]})",
    R"({"domains": [{"name": "d", "instances": 300}],
        "services": [{"name": "s", "address": "192.0.2.1:1"}]})",
    R"({"domains": [{"name": "d"}], "seconds": "long",
        "services": [{"name": "s", "address": "192.0.2.1:1"}]})",
};

BOOST_DATA_TEST_CASE(refuses_a_faulty_scenario, kFaulty, text) {
  const auto scenario = ReadScenario(text);

  BOOST_REQUIRE(!scenario.has_value());
  BOOST_TEST(!scenario.error().empty());
}

BOOST_AUTO_TEST_CASE(reads_every_example) {
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("examples/scenarios")) {
    if (!entry.is_regular_file()) {
      continue;
    }
    const auto scenario = LoadScenario(entry.path(), "");
    BOOST_TEST(scenario.has_value(),
               entry.path()
                   << ": " << (scenario ? "" : scenario.error().front()));
    ++count;
  }
  BOOST_TEST(count >= 2);
}

BOOST_AUTO_TEST_CASE(a_scenario_fits_any_deployment) {
  const std::filesystem::path folder = "examples/scenarios";
  const auto scenario = LoadScenario(folder / "lensmoor-demo.json",
                                     folder / "deployments/hmcdu.json");

  BOOST_REQUIRE(scenario.has_value());
  BOOST_TEST(scenario->fleet == "hmcdu");
  BOOST_TEST(scenario->timeline.front().subject == "ledger-03");
}

}  // namespace
}  // namespace sassafrasdyke::rig

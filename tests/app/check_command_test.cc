/// `check` over whole files.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "app/run.h"
#include "app/samples.h"

namespace sassafrasdyke::app {
namespace {

struct Checked {
  const char* option;
  const char* text;
  /// Empty when the file has no faults.
  std::vector<std::string> says;
};

std::ostream& operator<<(std::ostream& out, const Checked& row) {
  return out << row.option << (row.says.empty() ? " good" : " bad");
}

const Checked kChecked[] = {
    {"--settings", kSettingsText, {}},
    {"--configuration", kConfigurationText, {}},
    {"--instances", kInstancesText, {}},
    {"--settings",
     R"({ "instance": "one", "tunel": {} })",
     {"/instance", "/tunel", "/domain"}},
    {"--front",
     R"({ "load": { "locality": "proportional" } })",
     {"/instance", "/load/locality"}},
    {"--configuration",
     R"({ "revision": 1, "services": { "diary": 7 } })",
     {"/services/diary"}},
    {"--configuration", "{ \"revision\": 1,", {""}},
    {"--instances",
     R"({ "revision": 1, "instances": { "a1": {} } })",
     {"/instances/a1"}},
};

BOOST_DATA_TEST_CASE(names_every_fault_with_its_path, kChecked, row) {
  const TestFolder folder;
  const std::string file = folder.Write("checked.json", row.text);

  const Ran ran = RunWith({"check", row.option, file});

  const bool good = row.says.empty();
  BOOST_CHECK(ran.code == (good ? ExitCode::kSuccess : ExitCode::kInvalid));
  BOOST_TEST(ran.err.empty() == good);
  const std::string start = file + ": ";
  for (const std::string& part : row.says) {
    BOOST_TEST(Contains(ran.err, std::string(start).append(part)));
  }
}

}  // namespace
}  // namespace sassafrasdyke::app

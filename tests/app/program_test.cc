/// The command line: what is wrong is said, and nothing is guessed.
#include "app/program.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "app/run.h"

namespace sassafrasdyke::app {
namespace {

struct Wrong {
  std::vector<std::string> arguments;
  const char* says;
};

std::ostream& operator<<(std::ostream& out, const Wrong& row) {
  for (const std::string& argument : row.arguments) {
    out << argument << " ";
  }
  return out;
}

const Wrong kWrong[] = {
    {{}, "a command is missing"},
    {{"blance"}, "unknown command 'blance'"},
    {{"--settings"}, "unknown command '--settings'"},
    {{"balance"}, "needs --settings"},
    {{"balance", "--settings"}, "settings"},
    {{"balance", "--setings", "x"}, "setings"},
    {{"balance", "--settings", "/nowhere/x.json"}, "/nowhere/x.json"},
    {{"balance", "--settings", "/"}, "can't read /"},
    {{"balance", "x.json"}, "unexpected argument 'x.json'"},
    {{"check"}, "check needs"},
    {{"check", "--configuration", "/nowhere/x.json"}, "/nowhere/x.json"},
    {{"explain", "--flow", "198.51.100.7:1->192.0.2.10:443"},
     "explain needs --flow, and either"},
    {{"explain", "--flow", "here->there", "--live", "127.0.0.1:9100"},
     "not of the form"},
    {{"explain", "--flow", "198.51.100.7:1->192.0.2.10:443", "--live", "x"},
     "--live is not an address"},
};

// An operator mistypes an option at night. A program that started with a
// default in its place would balance under settings that nobody wrote.
BOOST_DATA_TEST_CASE(refuses_a_wrong_command_line, kWrong, row) {
  const Ran ran = RunWith(row.arguments);

  BOOST_CHECK(ran.code == ExitCode::kInvalid);
  BOOST_TEST(Contains(ran.err, row.says));
  BOOST_TEST(ran.out.empty());
}

struct Help {
  std::vector<std::string> arguments;
  const char* says;
};

std::ostream& operator<<(std::ostream& out, const Help& row) {
  return out << row.says;
}

const Help kHelp[] = {
    {{"--help"}, "balance"},
    {{"--version"}, SASSAFRASDYKE_VERSION},
    {{"balance", "--help"}, "--settings FILE"},
    {{"check", "--help"}, "--configuration FILE"},
    {{"explain", "--help"}, "--live ADDRESS"},
};

BOOST_DATA_TEST_CASE(helps, kHelp, row) {
  const Ran ran = RunWith(row.arguments);

  BOOST_CHECK(ran.code == ExitCode::kSuccess);
  BOOST_TEST(Contains(ran.out, row.says));
  BOOST_TEST(ran.err.empty());
}

}  // namespace
}  // namespace sassafrasdyke::app

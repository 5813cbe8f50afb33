/// The reference that is kept in docs/.
#include "config/reference_page.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace sassafrasdyke::config {
namespace {

constexpr const char* kPage = "docs/REFERENCE.md";

// A key changes its range or its default, and the page that operators read
// still tells the old one. Run with WRITE_REFERENCE set to write the page anew.
BOOST_AUTO_TEST_CASE(the_page_tells_what_the_readers_do) {
  const std::string made = ReferencePage();
  if (std::getenv("WRITE_REFERENCE") != nullptr) {  // NOLINT: one thread.
    std::ofstream(kPage) << made;
  }
  std::ifstream file(kPage);
  const std::string kept{std::istreambuf_iterator<char>(file), {}};

  BOOST_TEST((kept == made), "docs/REFERENCE.md is out of date");
}

}  // namespace
}  // namespace sassafrasdyke::config

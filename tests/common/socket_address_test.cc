/// Endpoints in the system calls' form and back.
#include "common/socket_address.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::common {
namespace {

struct Row {
  std::string endpoint;
  int family;
  bool reachable;
};

std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.endpoint << " from family " << row.family;
}

const Row kRows[] = {
    {"192.0.2.1:80", AF_INET, true},
    {"192.0.2.1:80", AF_INET6, true},
    {"[2001:db8::1]:443", AF_INET6, true},
    {"[2001:db8::1]:443", AF_INET, false},
};

BOOST_DATA_TEST_CASE(an_endpoint_survives_the_system_form, kRows, row) {
  const Endpoint endpoint = *Endpoint::Parse(row.endpoint);

  const auto address = ToSocketAddress(endpoint, row.family);

  BOOST_REQUIRE(address.has_value() == row.reachable);
  if (address) {
    BOOST_TEST(address->storage.ss_family == row.family);
    BOOST_TEST(FromSocketAddress(address->storage).ToString() == row.endpoint);
  }
}

}  // namespace
}  // namespace sassafrasdyke::common

/// Addresses and endpoints as text.
#include "common/address.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::common {
namespace {

struct Text {
  std::string text;
  bool valid;
};

std::ostream& operator<<(std::ostream& out, const Text& row) {
  return out << '"' << row.text << '"';
}

const Text kEndpoints[] = {
    {"192.0.2.1:80", true},     {"[2001:db8::1]:443", true},
    {"127.0.0.1:0", true},      {"", false},
    {"192.0.2.1", false},       {"192.0.2.1:", false},
    {"192.0.2.1:65536", false}, {"192.0.2.1:80x", false},
    {"192.0.2.256:80", false},  {"2001:db8::1:443", false},
    {"[192.0.2.1]:80", false},  {"[2001:db8::1]", false},
    {"host.example:80", false}, {":80", false},
};

BOOST_DATA_TEST_CASE(reads_an_endpoint_or_refuses_it, kEndpoints, row) {
  const auto endpoint = Endpoint::Parse(row.text);

  BOOST_TEST(endpoint.has_value() == row.valid);
  if (endpoint) {
    BOOST_TEST(endpoint->ToString() == row.text);
  }
}

BOOST_AUTO_TEST_CASE(v4_survives_the_mapped_form) {
  const IpAddress address = IpAddress::FromV4(0xC0000201);

  BOOST_TEST(address.IsV4());
  BOOST_TEST(address.V4() == 0xC0000201);
  BOOST_TEST(address.ToString() == "192.0.2.1");
}

}  // namespace
}  // namespace sassafrasdyke::common

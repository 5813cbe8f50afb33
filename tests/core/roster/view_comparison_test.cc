/// Tests when a view that differs from those of peers is replaced.
#include "core/roster/view_comparison.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct ComparisonRow {
  const char* name;
  /// A character a digest: the peer; '=' for a peer whose view is the same.
  std::string peers;
  milliseconds between;  ///< Time between two digests.
  int replaced;
};

std::ostream& operator<<(std::ostream& out, const ComparisonRow& row) {
  return out << row.name;
}

const ComparisonRow kComparisons[] = {
    {"all the same", "========", 100ms, 0},
    {"three peers differ", "abc", 100ms, 0},
    {"four peers differ", "abcd", 100ms, 1},
    {"one peer differs again and again", "aaaaaaaa", 100ms, 0},
    {"one of four is the same", "abc=abc=abc=", 100ms, 0},
    {"all differ for a second", "abcdefghij", 100ms, 1},
    {"all differ for five seconds", "abcdefghij", 500ms, 2},
};

// Guards against copies because of a few peers whose views are wrong, and
// against copies in a row while views go on differing.
BOOST_DATA_TEST_CASE(a_view_is_replaced_if_peers_agree_that_it_differs,
                     kComparisons, row) {
  ViewComparison comparison;
  int replaced = 0;
  milliseconds now = 10s;
  for (const char peer : row.peers) {
    now += row.between;
    const common::Endpoint address{
        common::IpAddress::FromV4(static_cast<std::uint32_t>(peer)), 7720};
    replaced += comparison.OnPeer(address, peer == '=', now) ? 1 : 0;
  }
  BOOST_TEST(replaced == row.replaced);
}

}  // namespace
}  // namespace sassafrasdyke::core

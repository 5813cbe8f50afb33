/// Tests which configuration and routes are in force.
#include "core/view/route_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace sassafrasdyke::core {
namespace {

using namespace std::chrono_literals;

const common::Endpoint kAddress = *common::Endpoint::Parse("198.18.0.1:443");

PublishedConfiguration MakeConfiguration(std::uint64_t version,
                                         const std::string& service) {
  return {version, {{kAddress, {{service, 1}}}}};
}

struct VersionRow {
  std::uint64_t first;
  std::uint64_t second;
  ConfigurationOutcome outcome;
};

std::ostream& operator<<(std::ostream& out, const VersionRow& row) {
  return out << row.first << " then " << row.second;
}

const VersionRow kVersions[] = {
    {7, 8, ConfigurationOutcome::kInForce},
    {7, 7, ConfigurationOutcome::kOlder},
    {7, 6, ConfigurationOutcome::kOlder},
};

// Guards against restoring a withdrawn route: a peer that was disconnected for
// a while sends its older configuration.
BOOST_DATA_TEST_CASE(versions_only_grow, kVersions, row) {
  RouteTable table(60s);
  table.Replace(MakeConfiguration(row.first, "a"), 0ms);

  BOOST_TEST(
      (table.Replace(MakeConfiguration(row.second, "b"), 0ms) == row.outcome));
}

// Guards against ending flows whose route has moved to another service. Words
// of the former service's targets stay valid for the lifetime of a flow, and no
// longer.
BOOST_AUTO_TEST_CASE(flows_of_a_former_service_stay_for_their_life) {
  RouteTable table(60s);
  table.Replace(MakeConfiguration(1, "old"), 0ms);
  table.Replace(MakeConfiguration(2, "new"), 10s);
  table.Replace(MakeConfiguration(3, "newer"), 20s);

  const Route* const found = table.Find(kAddress);
  const Route route = found == nullptr ? Route{} : *found;
  BOOST_TEST(route.MayUse("newer", 30s));
  BOOST_TEST(route.MayUse("new", 79s));
  BOOST_TEST(route.MayUse("old", 69s));
  BOOST_TEST(!route.MayUse("old", 71s));
  BOOST_TEST(!route.MayUse("other", 30s));
}

// Guards against shares that change when the sum of their weights overflows.
BOOST_AUTO_TEST_CASE(great_weights_add_up) {
  RouteTable table(60s);
  const ServiceShare great{"a", UINT32_MAX};
  table.Replace({1, {{kAddress, {great, great}}}}, 0ms);

  BOOST_TEST(table.Find(kAddress)->total_weight == 2ULL * UINT32_MAX);
}

// Guards against serving a route that a newer configuration doesn't contain.
BOOST_AUTO_TEST_CASE(a_withdrawn_route_is_gone) {
  RouteTable table(60s);
  table.Replace(MakeConfiguration(1, "a"), 0ms);
  table.Replace({2, {}}, 0ms);

  BOOST_TEST(table.Find(kAddress) == nullptr);
}

// Guards against a log that doesn't say why flows of a withdrawn route are
// reset, or says it of a route that was put back.
BOOST_AUTO_TEST_CASE(a_withdrawn_route_is_remembered_while_flows_may_be_open) {
  RouteTable table(60s);
  table.Replace(MakeConfiguration(1, "diary"), 0ms);
  BOOST_TEST(!table.WithdrawnFor(kAddress, 0ms).has_value());

  table.Replace({2, {}}, 1000ms);
  BOOST_TEST((table.WithdrawnFor(kAddress, 1000ms) == 0ms));
  BOOST_TEST((table.WithdrawnFor(kAddress, 60s) == 59s));
  BOOST_TEST(!table.WithdrawnFor(kAddress, 61s).has_value());

  table.Replace(MakeConfiguration(3, "diary"), 2000ms);
  BOOST_TEST(!table.WithdrawnFor(kAddress, 2000ms).has_value());
}

}  // namespace
}  // namespace sassafrasdyke::core

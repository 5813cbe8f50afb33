/// Who probes which target.
#include "app/probe_plan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

namespace sassafrasdyke::app {
namespace {

constexpr common::DomainId kDomain{1};
constexpr std::uint32_t kTargets = 40;

core::Configuration SomeConfiguration() {
  core::Configuration configuration;
  for (std::uint32_t id = 1; id <= kTargets; ++id) {
    core::Target target;
    target.id = {id};
    target.domain = kDomain;
    target.health.port = 8080;
    configuration.targets.push_back(target);
  }
  return configuration;
}

core::FleetView ViewOf(common::InstanceId self, std::uint32_t instances) {
  core::FleetView view;
  view.self = self;
  view.domain = kDomain;
  for (std::uint32_t id = 1; id <= instances; ++id) {
    core::InstanceView instance;
    instance.id = {id};
    instance.domain = kDomain;
    view.instances.push_back(instance);
  }
  return view;
}

const std::uint32_t kFleets[] = {1, 2, 3, 8, 50};

BOOST_DATA_TEST_CASE(a_few_instances_probe_each_target, kFleets, instances) {
  const core::Configuration configuration = SomeConfiguration();
  std::map<common::TargetId, std::size_t> probers;
  for (std::uint32_t id = 1; id <= instances; ++id) {
    for (const auto& probed :
         PlanProbes(configuration, ViewOf({id}, instances))) {
      ++probers[probed.id];
    }
  }

  BOOST_TEST(probers.size() == kTargets);
  for (const auto& [target, count] : probers) {
    BOOST_TEST(count == std::min<std::size_t>(instances, kProbersPerTarget));
  }
}

// An instance that is leaving or suspected goes on probing and its word is
// passed on with nobody to correct it once it is gone.
BOOST_AUTO_TEST_CASE(an_instance_that_may_not_own_probes_nothing) {
  core::FleetView view = ViewOf({1}, 3);
  view.instances[0].use = core::InstanceUse::kLeaving;

  BOOST_TEST(PlanProbes(SomeConfiguration(), view).empty());
}

BOOST_AUTO_TEST_CASE(leaves_out_what_has_no_health_address_or_is_elsewhere) {
  core::Configuration configuration = SomeConfiguration();
  configuration.targets[0].health.port = 0;
  configuration.targets[1].domain = {2};

  BOOST_TEST(PlanProbes(configuration, ViewOf({1}, 1)).size() == kTargets - 2);
}

}  // namespace
}  // namespace sassafrasdyke::app

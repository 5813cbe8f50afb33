/// The examples that are shipped with the documentation.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "config/configuration_reader.h"
#include "config/settings.h"

namespace sassafrasdyke::config {
namespace {

const std::string kDeployments[] = {"lensmoor", "hmcdu"};

std::string FileText(const std::string& deployment, const std::string& name) {
  std::ifstream file("examples/" + deployment + "/" + name);
  BOOST_REQUIRE(file.good());
  return {std::istreambuf_iterator<char>(file), {}};
}

void RequireNoFaults(const core::DocumentFaults& faults) {
  for (const core::DocumentFault& fault : faults) {
    BOOST_ERROR(fault.path + " " + fault.what);
  }
}

core::Configuration ExampleConfiguration(const std::string& deployment) {
  auto read = ReadConfigurationText(FileText(deployment, "configuration.json"));
  RequireNoFaults(read ? core::DocumentFaults{} : read.error());
  BOOST_REQUIRE(read.has_value());
  return *read;
}

core::InstanceList ExampleInstances(const std::string& deployment) {
  auto read = ReadInstancesText(FileText(deployment, "instances.json"));
  RequireNoFaults(read ? core::DocumentFaults{} : read.error());
  BOOST_REQUIRE(read.has_value());
  return *read;
}

BOOST_DATA_TEST_CASE(configuration_has_the_size_of_today, kDeployments,
                     deployment) {
  const core::Configuration configuration = ExampleConfiguration(deployment);

  BOOST_TEST(configuration.fleet == deployment);
  BOOST_TEST(configuration.domains.size() == 3U);
  BOOST_REQUIRE(configuration.services.size() == 2U);
  const auto targets_of = [&configuration](const core::Service& service) {
    return std::count_if(configuration.targets.begin(),
                         configuration.targets.end(),
                         [&service](const core::Target& target) {
                           return target.service == service.id;
                         });
  };
  BOOST_TEST(targets_of(configuration.services[0]) == 14);
  BOOST_TEST(targets_of(configuration.services[1]) == 4);
  BOOST_TEST(configuration.exceptions.size() == 3U);
}

BOOST_DATA_TEST_CASE(instances_lie_in_published_domains, kDeployments,
                     deployment) {
  const core::Configuration configuration = ExampleConfiguration(deployment);
  const core::InstanceList list = ExampleInstances(deployment);

  BOOST_TEST(list.instances.size() == 8U);
  for (const core::Instance& instance : list.instances) {
    const bool published =
        std::any_of(configuration.domains.begin(), configuration.domains.end(),
                    [&instance](const core::Domain& domain) {
                      return domain.id == instance.domain;
                    });
    BOOST_TEST(published);
  }
}

BOOST_DATA_TEST_CASE(settings_fit_the_instance_list, kDeployments, deployment) {
  const auto settings = ReadSettings(FileText(deployment, "settings.json"));
  RequireNoFaults(settings ? core::DocumentFaults{} : settings.error());
  BOOST_REQUIRE(settings.has_value());

  const core::InstanceList list = ExampleInstances(deployment);
  const core::Instance& listed = list.instances.at(0);
  BOOST_TEST(settings->instance == listed.id);
  BOOST_TEST(settings->domain == listed.domain);
  BOOST_TEST((settings->tunnel.listen == listed.tunnel));
  BOOST_TEST((settings->control.listen == listed.control));
}

}  // namespace
}  // namespace sassafrasdyke::config

/// What is published and stands behind the balancers: the configuration
/// document and its targets, kept in step.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/ids.h"
#include "rig/addresses.h"
#include "rig/fabric.h"
#include "rig/flood.h"
#include "rig/judge.h"
#include "rig/naive_balancers.h"
#include "rig/platform.h"
#include "rig/scenario.h"
#include "rig/scheduler.h"
#include "rig/upstream.h"

namespace sassafrasdyke::rig {

/// The deployment of one run.
class Deployment {
 public:
  /// Told the revision of each configuration that is published.
  using Listener = std::function<void(std::uint64_t revision)>;

  /// All references must outlive it. With a `flood`, its sockets take the
  /// targets' places. With `naive` balancers, nothing listens, and they are
  /// told of the targets. Either may be null.
  Deployment(const Scenario& scenario, const AddressPlan& plan,
             NaiveBalancers* naive, Flood* flood, Scheduler& scheduler,
             Judge& judge, Platform& platform, Fabric& fabric);

  /// Builds the document and all targets, and publishes it.
  void Build(std::uint64_t hash_seed);
  void Listen(Listener listener) { this->listener = std::move(listener); }

  /// Adds a target to the service and publishes it.
  void AddTarget(const std::string& service);
  void RemoveTarget(const std::string& name);
  void SetDraining(const std::string& name, bool draining);
  /// Sets the value at a JSON pointer and publishes it.
  void Set(const std::string& path, const nlohmann::ordered_json& value);

  /// The target of that name, or null.
  StandInTarget* Find(const std::string& name);
  /// The failure domain of that name; all of them for "all".
  std::vector<common::DomainId> Domains(const std::string& name) const;

 private:
  void BuildDomains();
  void BuildServices();
  void Place(const std::string& service);
  void PlaceUpstream(const std::string& name, const TargetShape& shape,
                     common::DomainId domain);
  void TellNaive(const StandInTarget& target, bool serving);
  void Publish();

  const Scenario& scenario;
  AddressPlan plan;
  NaiveBalancers* naive;
  Flood* flood;
  Scheduler& scheduler;
  Judge& judge;
  Platform& platform;
  Fabric& fabric;
  Listener listener;
  nlohmann::ordered_json document;
  std::map<std::string, std::unique_ptr<Upstream>> upstreams;
  std::uint32_t next_target{1};
};

}  // namespace sassafrasdyke::rig

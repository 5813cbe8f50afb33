/// The fleet-wide configuration and the instance list, as the decisions see
/// them: checked, typed, and never changed once published to the core.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// What the platform says of a target.
enum class TargetState {
  kServing,   ///< Takes new flows.
  kDraining,  ///< Keeps its flows and takes no new ones.
};

/// One upstream target of one service.
struct Target {
  common::TargetId id;
  common::ServiceId service;
  common::DomainId domain;
  /// Where its GUE receiver listens; the inner packet stays unchanged.
  common::Endpoint tunnel;
  /// Share of the flows, relative to the service's other targets.
  std::uint32_t weight{100};
  TargetState state{TargetState::kServing};
  /// Requests it serves at once, as the platform declares it.
  std::uint32_t slots{2};
  /// Connections it accepts at most.
  std::uint32_t connections{2000};
  /// Where its health and load are read over HTTP; port 0 when it has none.
  common::Endpoint health;
};

/// How a service's flows are placed. Every field is a published setting with
/// a fleet-wide default that an exception may change for one service.
struct ServicePolicy {
  /// The placement policy's registered name.
  std::string placement{"least-loaded"};
  /// Partitions of the flows; fixed for the life of the service.
  std::uint32_t partitions{64};
  /// Targets a partition may use; 0 derives it from owners and targets.
  std::uint32_t subset_size{0};
  /// Open flows by which the default target must be busier than another before
  /// a new flow leaves the default.
  std::uint32_t deviate_by{2};
  /// Age at which an exception is worth a copy to the standby.
  std::chrono::milliseconds copy_after{1000};
  /// Idle time after which a flow that never got past its SYN is forgotten.
  std::chrono::milliseconds syn_idle{std::chrono::seconds{30}};
  /// Idle time after which an established flow is forgotten.
  std::chrono::milliseconds established_idle{std::chrono::hours{3}};
  /// Idle time after which a flow that saw FIN or RST is forgotten.
  std::chrono::milliseconds closing_idle{std::chrono::seconds{10}};
  /// Time over which a target that is new or returns takes its full share.
  std::chrono::milliseconds ramp{std::chrono::seconds{10}};
  /// Greatest share of a service's targets that may be ejected at once.
  std::uint32_t eject_share_percent{30};
  /// Repeats of one sequence number after which a path may be called dead.
  std::uint32_t silent_repeats{4};
  /// Whether other failure domains' targets may serve when the local ones
  /// can't.
  bool spill{true};
};

/// A service: what callers connect to.
struct Service {
  common::ServiceId id;
  std::string name;
  common::Endpoint address;
  ServicePolicy policy;
};

/// Which instances the fabric may hand a flow's packets to.
enum class FabricScope {
  kFleet,   ///< Any instance of any failure domain.
  kDomain,  ///< Any instance of one failure domain.
};

/// Limits and times of the fleet's own work.
struct FleetPolicy {
  FabricScope fabric_scope{FabricScope::kFleet};
  /// Instances of each failure domain that hold the platform's watch.
  std::uint32_t readers_per_domain{2};
  /// Peers that watch each instance.
  std::uint32_t watchers{3};
  std::chrono::milliseconds heartbeat_interval{500};
  /// Silence after which a watcher suspects an instance.
  std::chrono::milliseconds suspect_after{2000};
  /// Silence of peers and platform after which an instance is stale.
  std::chrono::milliseconds lease{5000};
  /// Average budget of exception copies, encoded bytes a second.
  std::size_t copy_bytes_per_second{4000};
  /// Average budget of all control traffic, encoded bytes a second.
  std::size_t control_bytes_per_second{9000};
  /// Flow records an instance holds at most.
  std::size_t max_flows{1'000'000};
  /// Quiet time at the fabric after which a leaving instance may stop.
  std::chrono::milliseconds leave_quiet{2000};
  /// Longest time a leaving instance stays.
  std::chrono::milliseconds leave_deadline{std::chrono::minutes{5}};
};

/// A published deviation from the defaults, with its reason.
struct ConfigurationException {
  /// JSON path of what it changes, such as "services/diary".
  std::string subject;
  /// The keys it changes, in the order written.
  std::vector<std::string> keys;
  std::string reason;
};

/// A failure domain and the region it lies in.
struct Domain {
  common::DomainId id;
  std::string name;
  std::string region;
};

/// One accepted revision of the configuration. Vectors are sorted by id.
struct Configuration {
  common::Revision revision;
  /// The fleet's name; instances of other fleets are refused as peers.
  std::string fleet;
  /// Seed of every hash that instances must agree on.
  std::uint64_t hash_seed{0};
  FleetPolicy policy;
  std::vector<Domain> domains;
  std::vector<Service> services;
  std::vector<Target> targets;
  std::vector<ConfigurationException> exceptions;
};

/// What the platform says of an instance.
enum class InstanceState {
  kLive,
  kLeaving,  ///< Being stopped; takes no new ownership.
};

/// One entry of the instance list.
struct Instance {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
  /// Where it receives packets from the fabric and from its peers.
  common::Endpoint tunnel;
  /// Where it accepts its peers' streams.
  common::Endpoint control;
  InstanceState state{InstanceState::kLive};
};

/// One revision of the platform's instance list, sorted by id. It lags behind
/// the truth in both directions.
struct InstanceList {
  common::Revision revision;
  std::vector<Instance> instances;
};

}  // namespace sassafrasdyke::core

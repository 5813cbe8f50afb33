/// The fleet-wide configuration and the instance list: validated, typed, and
/// immutable once published to the core.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// A target's state as the platform publishes it.
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
  /// Requests it serves concurrently, as the platform declares.
  std::uint32_t slots{2};
  /// Maximum number of connections it accepts.
  std::uint32_t connections{2000};
  /// Where its health and load are read over HTTP; port 0 when it offers none.
  common::Endpoint health;
};

/// How a service's flows are placed. Every field is a published setting with
/// a fleet-wide default that an exception may override for one service.
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
  /// Age at which an exception is copied to the standby.
  std::chrono::milliseconds copy_after{1000};
  /// Idle time after which the record of a half-open flow is dropped.
  std::chrono::milliseconds syn_idle{std::chrono::seconds{30}};
  /// Idle time after which the record of an established flow is dropped.
  std::chrono::milliseconds established_idle{std::chrono::hours{3}};
  /// Idle time after which the record of a flow with a FIN or RST is dropped.
  std::chrono::milliseconds closing_idle{std::chrono::seconds{10}};
  /// Slow start: time over which a new or returning target reaches its full
  /// share.
  std::chrono::milliseconds ramp{std::chrono::seconds{10}};
  /// Maximum share of a service's targets that may be ejected at once.
  std::uint32_t eject_share_percent{30};
  /// Retransmissions of one sequence number after which a path may be
  /// considered dead.
  std::uint32_t silent_repeats{4};
  /// Whether other failure domains' targets may serve when the local ones
  /// can't.
  bool spill{true};
};

/// A service: the address that callers connect to, and its policy.
struct Service {
  common::ServiceId id;
  std::string name;
  common::Endpoint address;
  ServicePolicy policy;
};

/// Which instances the fabric may deliver a flow's packets to.
enum class FabricScope {
  kFleet,   ///< Any instance of any failure domain.
  kDomain,  ///< Any instance of one failure domain.
};

/// Limits and timeouts of the instances' coordination.
struct FleetPolicy {
  FabricScope fabric_scope{FabricScope::kFleet};
  /// Instances of each failure domain that watch the platform's store.
  std::uint32_t readers_per_domain{2};
  /// Peers that monitor each instance.
  std::uint32_t watchers{3};
  std::chrono::milliseconds heartbeat_interval{500};
  /// Time without a heartbeat after which a watcher suspects an instance.
  std::chrono::milliseconds suspect_after{2000};
  /// Time without contact to peers and platform after which an instance's lease
  /// expires.
  std::chrono::milliseconds lease{5000};
  /// Average budget of exception copies, in encoded bytes per second.
  std::size_t copy_bytes_per_second{4000};
  /// Average budget of all control traffic, in encoded bytes per second.
  std::size_t control_bytes_per_second{9000};
  /// Maximum number of flow records on an instance.
  std::size_t max_flows{1'000'000};
  /// Time without packets from the fabric after which a leaving instance may
  /// stop.
  std::chrono::milliseconds leave_quiet{2000};
  /// Time after which a leaving instance stops in any case.
  std::chrono::milliseconds leave_deadline{std::chrono::minutes{5}};
};

/// A published deviation from the defaults, with its reason.
struct ConfigurationException {
  /// JSON path of the changed object, such as "services/diary".
  std::string subject;
  /// The changed keys, in document order.
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

/// An instance's state as the platform publishes it.
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

/// One revision of the platform's instance list, sorted by id. It may still
/// name instances that have stopped and miss ones that have started.
struct InstanceList {
  common::Revision revision;
  std::vector<Instance> instances;
};

}  // namespace sassafrasdyke::core

#include "config/published_keys.h"

#include <chrono>
#include <string_view>

#include "core/placement/placement_policy.h"

namespace sassafrasdyke::config {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kBytesLimit = 100'000'000;
constexpr std::uint64_t kFlowsLimit = 100'000'000;
constexpr std::uint64_t kPeersLimit = 64;
constexpr std::uint64_t kPartitionsLimit = 65'536;
constexpr std::uint64_t kWeightLimit = 10'000;
constexpr std::uint64_t kCountLimit = 1'000'000;
constexpr std::uint64_t kPercent = 100;
constexpr std::uint64_t kReasonLimit = 1000;

/// The object of changes in an exception.
struct Changes {
  bool Read(const Json& json, Json& value) const {
    if (!json.is_object() || json.empty()) {
      return false;
    }
    value = json;
    return true;
  }
  FormatReference Describe() const {
    return {"object", "at least one key that the subject may change", ""};
  }
  Json Write(const Json& value) const { return value; }
};

/// The registered name of a placement policy.
struct PlacementName {
  bool Read(const Json& json, std::string& value) const {
    if (!json.is_string()) {
      return false;
    }
    const auto& name = json.get_ref<const std::string&>();
    if (core::FindPlacementPolicy(name) == nullptr) {
      return false;
    }
    value = name;
    return true;
  }
  FormatReference Describe() const {
    std::string range;
    for (const std::string_view name : core::PlacementPolicyNames()) {
      range.append(range.empty() ? "" : ", ").append(name);
    }
    return {"word", range, ""};
  }
  Json Write(const std::string& value) const { return value; }
};

KeyTable<core::FleetPolicy> MakeFleetPolicyKeys() {
  using Policy = core::FleetPolicy;
  const Choice<core::FabricScope> scopes{
      {{"fleet", core::FabricScope::kFleet},
       {"domain", core::FabricScope::kDomain}}};
  constexpr KeyUse kUse = KeyUse::kOptional;
  KeyTable<Policy> table;
  table
      .Add("fabric_scope", &Policy::fabric_scope, scopes, kUse,
           "Which instances the fabric may hand a flow's packets to: those of "
           "the whole fleet or of one failure domain.")
      .Add("readers_per_domain", &Policy::readers_per_domain,
           WholeNumber{1, kPeersLimit}, kUse,
           "Instances of each failure domain that hold the platform's watch.")
      .Add("watchers", &Policy::watchers, WholeNumber{1, kPeersLimit}, kUse,
           "Peers that watch each instance.")
      .Add("heartbeat_interval_ms", &Policy::heartbeat_interval,
           Milliseconds{10ms, 60s}, kUse, "Time between heartbeats.")
      .Add("suspect_after_ms", &Policy::suspect_after, Milliseconds{20ms, 600s},
           kUse, "Silence after which a watcher suspects an instance.")
      .Add("lease_ms", &Policy::lease, Milliseconds{50ms, 1h}, kUse,
           "Silence of peers and platform after which an instance is stale.")
      .Add("copy_bytes_per_second", &Policy::copy_bytes_per_second,
           WholeNumber{100, kBytesLimit, "bytes/s"}, kUse,
           "Average budget of copies of exceptions an instance sends.")
      .Add("control_bytes_per_second", &Policy::control_bytes_per_second,
           WholeNumber{100, kBytesLimit, "bytes/s"}, kUse,
           "Average budget of all control traffic of an instance.")
      .Add("max_flows", &Policy::max_flows, WholeNumber{1, kFlowsLimit}, kUse,
           "Flow records an instance holds at most.")
      .Add("leave_quiet_ms", &Policy::leave_quiet, Milliseconds{0ms, 600s},
           kUse,
           "Quiet time at the fabric after which a leaving instance "
           "may stop.")
      .Add("leave_deadline_ms", &Policy::leave_deadline, Milliseconds{0ms, 24h},
           kUse, "Longest time a leaving instance stays.");
  return table;
}

KeyTable<core::ServicePolicy> MakeServicePolicyKeys() {
  using Policy = core::ServicePolicy;
  constexpr KeyUse kUse = KeyUse::kAdjustable;
  KeyTable<Policy> table;
  table
      .Add("placement", &Policy::placement, PlacementName{}, kUse,
           "How a new flow's target is chosen.")
      .Add("partitions", &Policy::partitions, WholeNumber{1, kPartitionsLimit},
           kUse,
           "Partitions of the service's flows; fixed for the service's life.")
      .Add("subset_size", &Policy::subset_size, WholeNumber{0, kCountLimit},
           kUse, "Targets a partition may use; 0 derives it.")
      .Add("deviate_by", &Policy::deviate_by, WholeNumber{0, kCountLimit}, kUse,
           "Open flows by which the default target must be busier than "
           "another before a new flow leaves it.")
      .Add("copy_after_ms", &Policy::copy_after, Milliseconds{0ms, 1h}, kUse,
           "Age at which an exception is copied to the standby.")
      .Add("syn_idle_ms", &Policy::syn_idle, Milliseconds{100ms, 1h}, kUse,
           "Idle time after which a flow that never got past its SYN is "
           "forgotten.")
      .Add("established_idle_ms", &Policy::established_idle,
           Milliseconds{1s, 168h}, kUse,
           "Idle time after which an established flow is forgotten.")
      .Add("closing_idle_ms", &Policy::closing_idle, Milliseconds{100ms, 1h},
           kUse,
           "Idle time after which a flow that saw FIN or RST is forgotten.")
      .Add("ramp_ms", &Policy::ramp, Milliseconds{0ms, 1h}, kUse,
           "Time over which a target that is new or returns takes its full "
           "share.")
      .Add("eject_share_percent", &Policy::eject_share_percent,
           WholeNumber{0, kPercent, "%"}, kUse,
           "Greatest share of the service's targets ejected at once.")
      .Add("silent_repeats", &Policy::silent_repeats,
           WholeNumber{2, kPeersLimit}, kUse,
           "Repeats of one sequence number after which a path may be called "
           "dead.")
      .Add("spill", &Policy::spill, Flag{}, kUse,
           "Whether other failure domains' targets may serve when the local "
           "ones can't.");
  return table;
}

KeyTable<TargetEntry> MakeTargetKeys() {
  const Choice<core::TargetState> states{
      {{"serving", core::TargetState::kServing},
       {"draining", core::TargetState::kDraining}}};
  KeyTable<TargetEntry> table;
  table
      .Add("id", &TargetEntry::id, IdNumber{}, KeyUse::kRequired,
           "Its number, unique among targets.")
      .Add("service", &TargetEntry::service_name, Name{}, KeyUse::kRequired,
           "The service it serves, by name.")
      .Add("domain", &TargetEntry::domain_name, Name{}, KeyUse::kRequired,
           "Its failure domain, by name.")
      .Add("tunnel", &TargetEntry::tunnel, EndpointText{}, KeyUse::kRequired,
           "Where its GUE receiver listens, UDP; unique among targets.")
      .Add("weight", &TargetEntry::weight, WholeNumber{1, kWeightLimit},
           KeyUse::kAdjustable,
           "Its share of the flows, relative to the service's other targets.")
      .Add("state", &TargetEntry::state, states, KeyUse::kAdjustable,
           "Whether it takes new flows.")
      .Add("slots", &TargetEntry::slots, WholeNumber{1, kCountLimit},
           KeyUse::kAdjustable, "Requests it serves at once.")
      .Add("connections", &TargetEntry::connections,
           WholeNumber{1, kCountLimit}, KeyUse::kAdjustable,
           "Connections it accepts at most.")
      .Add("health", &TargetEntry::health, EndpointText{}, KeyUse::kOptional,
           "Where its health and load are read over HTTP.");
  return table;
}

KeyTable<core::Instance> MakeInstanceKeys() {
  using core::Instance;
  const Choice<core::InstanceState> states{
      {{"live", core::InstanceState::kLive},
       {"leaving", core::InstanceState::kLeaving}}};
  KeyTable<Instance> table;
  table
      .Add("id", &Instance::id, IdNumber{}, KeyUse::kRequired,
           "Its number, unique among instances.")
      .Add("domain", &Instance::domain, IdNumber{}, KeyUse::kRequired,
           "The number of its failure domain.")
      .Add("incarnation", &Instance::incarnation, IdNumber{UINT64_MAX},
           KeyUse::kRequired,
           "Tells apart two lives at one address; a later life has a greater "
           "number.")
      .Add("tunnel", &Instance::tunnel, EndpointText{}, KeyUse::kRequired,
           "Where it receives packets, UDP; unique among instances.")
      .Add("control", &Instance::control, EndpointText{}, KeyUse::kRequired,
           "Where it accepts its peers' streams, TCP; unique among instances.")
      .Add("state", &Instance::state, states, KeyUse::kOptional,
           "Whether it may own partitions.");
  return table;
}

}  // namespace

const KeyTable<core::FleetPolicy>& FleetPolicyKeys() {
  static const KeyTable<core::FleetPolicy> table = MakeFleetPolicyKeys();
  return table;
}

const KeyTable<core::ServicePolicy>& ServicePolicyKeys() {
  static const KeyTable<core::ServicePolicy> table = MakeServicePolicyKeys();
  return table;
}

const KeyTable<DefaultsEntry>& DefaultsKeys() {
  static const KeyTable<DefaultsEntry> table =
      KeyTable<DefaultsEntry>()
          .AddSection("fleet", &DefaultsEntry::fleet, FleetPolicyKeys(),
                      KeyUse::kOptional, "Limits and times of the fleet.")
          .AddSection("service", &DefaultsEntry::service, ServicePolicyKeys(),
                      KeyUse::kOptional,
                      "How every service's flows are placed.");
  return table;
}

const KeyTable<core::Domain>& DomainKeys() {
  static const KeyTable<core::Domain> table =
      KeyTable<core::Domain>()
          .Add("id", &core::Domain::id, IdNumber{}, KeyUse::kRequired,
               "Its number, unique among failure domains.")
          .Add("region", &core::Domain::region, Name{}, KeyUse::kRequired,
               "The region it lies in.");
  return table;
}

const KeyTable<core::Service>& ServiceKeys() {
  static const KeyTable<core::Service> table =
      KeyTable<core::Service>()
          .Add("id", &core::Service::id, IdNumber{}, KeyUse::kRequired,
               "Its number, unique among services.")
          .Add("address", &core::Service::address, EndpointText{},
               KeyUse::kRequired,
               "What callers connect to, TCP; unique among services.");
  return table;
}

const KeyTable<TargetEntry>& TargetKeys() {
  static const KeyTable<TargetEntry> table = MakeTargetKeys();
  return table;
}

const KeyTable<ExceptionEntry>& ExceptionKeys() {
  static const KeyTable<ExceptionEntry> table =
      KeyTable<ExceptionEntry>()
          .Add("subject", &ExceptionEntry::subject, Text{1, kReasonLimit},
               KeyUse::kRequired,
               "What deviates: services/NAME or targets/NAME.")
          .Add("set", &ExceptionEntry::set, Changes{}, KeyUse::kRequired,
               "The adjustable keys that it changes, with their values.")
          .Add("reason", &ExceptionEntry::reason, Text{1, kReasonLimit},
               KeyUse::kRequired, "Why, for the next operator.");
  return table;
}

const KeyTable<core::Instance>& InstanceKeys() {
  static const KeyTable<core::Instance> table = MakeInstanceKeys();
  return table;
}

std::vector<KeyReference> ConfigurationReference() {
  std::vector<KeyReference> references{
      {"revision", IdNumber{UINT64_MAX}.Describe(), KeyUse::kRequired, "",
       "Number of this text; each later text has a greater one."},
      {"fleet", Name().Describe(), KeyUse::kRequired, "",
       "The fleet's name; fixed for its life."},
      {"hash_seed", WholeNumber{0, UINT64_MAX}.Describe(), KeyUse::kRequired,
       "", "Seed of every hash that instances must agree on; fixed."}};
  DefaultsKeys().Describe("defaults.", references);
  DomainKeys().Describe("domains.NAME.", references);
  ServiceKeys().Describe("services.NAME.", references);
  TargetKeys().Describe("targets.NAME.", references);
  ExceptionKeys().Describe("exceptions[].", references);
  return references;
}

std::vector<KeyReference> InstancesReference() {
  std::vector<KeyReference> references{
      {"revision", IdNumber{UINT64_MAX}.Describe(), KeyUse::kRequired, "",
       "Number of this text; each later text has a greater one."}};
  InstanceKeys().Describe("instances.NAME.", references);
  return references;
}

}  // namespace sassafrasdyke::config

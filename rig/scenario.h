/// A scenario: what is deployed, the load, and what happens when. Read from
/// JSON with comments; every key has a default but for names and addresses.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::rig {

/// A failure domain; domains are numbered from 1 in the order written.
struct ScenarioDomain {
  std::string name;
  std::string region{"here"};
  std::uint32_t instances{1};
};

/// A service with its targets and its load.
struct ScenarioService {
  std::string name;
  common::Endpoint address;
  std::uint32_t targets{1};  ///< Spread over the failure domains in turn.
  double flows_per_second{0};
  std::size_t long_flows{0};
  std::chrono::milliseconds service_time{20};  ///< Key `service_ms`.
  std::uint32_t answer_parts{3};
  std::uint32_t slots{2};
  std::size_t connections{2000};
  std::size_t shed_at{200};
  double cold_factor{1};
  std::chrono::milliseconds cold_time{0};  ///< Key `cold_ms`.
};

/// Times and faults of the network between the stand-ins.
struct ScenarioNetwork {
  std::chrono::microseconds caller_delay{1000};  ///< Key `caller_delay_us`.
  std::chrono::microseconds domain_delay{4000};  ///< Key `domain_delay_us`.
  /// Share of the delay by which it varies, up.
  std::uint32_t jitter_percent{20};
  std::uint32_t loss_per_million{0};         ///< Callers to instances.
  std::uint32_t domain_loss_per_million{0};  ///< Between failure domains.
  /// How long the instance list lags behind the truth.
  std::chrono::milliseconds list_lag{2000};
  /// How long the fabric takes to notice the same.
  std::chrono::milliseconds fabric_lag{1000};
  /// Carries what instances send each other through the rig, so that a cut and
  /// the delay between failure domains hold for it too.
  bool relay{true};
};

/// How the callers behave, for all services.
struct ScenarioCallers {
  std::chrono::milliseconds pause{1000};  ///< Key `pause_ms`.
  std::uint32_t idempotent_percent{50};
  std::uint32_t fast_open_percent{10};
};

/// What a step of the timeline does; the JSON word is in `kStepWords`.
enum class StepKind {
  kDrain,
  kUndrain,
  kAddTarget,
  kRemoveTarget,
  kFailTarget,
  kRestartTarget,
  kSilenceTarget,
  kLie,
  kSet,
  kReplace,
  kStart,
  kTerm,
  kKill,
  kFreeze,
  kThaw,
  kPlatformUp,
  kPlatformDown,
  kPlatformSlow,
  kPlatformStale,
  kPlatformOlder,
  kCut,
  kHeal,
};

/// One step of the timeline.
struct ScenarioStep {
  std::chrono::milliseconds at{0};  ///< Since the load began.
  StepKind kind{StepKind::kSet};
  /// What it is done to: a target's, service's or failure domain's name, an
  /// instance's number, or "all" failure domains. Written as "service-1/3"
  /// (third target of the first service), "service-1" or "domain-2", it fits
  /// any deployment.
  std::string subject;
  /// Of `set`: the JSON pointer in the configuration and its new value; of
  /// `lie`: what the health endpoint says; of `platform-slow`: the delay in ms.
  nlohmann::ordered_json value;
  std::string path;
};

/// All of it.
struct Scenario {
  std::string name;
  std::string fleet;
  /// All addresses are in 127.NET.0.0/16.
  std::uint32_t net{20};
  std::chrono::seconds length{20};  ///< Key `seconds`.
  std::vector<ScenarioDomain> domains;
  std::vector<ScenarioService> services;
  ScenarioNetwork network;
  ScenarioCallers callers;
  /// Starts the published configuration: `defaults` and `exceptions`.
  nlohmann::ordered_json configuration;
  std::vector<ScenarioStep> timeline;
};

/// Everything that is wrong with a scenario, a sentence each.
using ScenarioFaults = std::vector<std::string>;

/// The published name of a service's target; targets count from 1.
std::string TargetName(const std::string& service, std::uint32_t number);

/// Reads a scenario's text.
tl::expected<Scenario, ScenarioFaults> ReadScenario(std::string_view text);

/// Reads a scenario's file, laid over the file that its key `deployment` names
/// relative to it, or over `deployment` if that isn't empty.
tl::expected<Scenario, ScenarioFaults> LoadScenario(
    const std::filesystem::path& file, const std::filesystem::path& deployment);

}  // namespace sassafrasdyke::rig

/// The settings of an instance that steers flows by the word they carry.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "config/key_table.h"
#include "core/fleet/fleet.h"
#include "core/view/region_map.h"

namespace sassafrasdyke::config {

/// Where this instance is reached.
struct FrontListenSettings {
  common::Endpoint packets;    ///< UDP, clients' packets.
  common::Endpoint readiness;  ///< TCP, the routers' checks.
  common::Endpoint peers;      ///< UDP and TCP, other instances.
  common::Endpoint metrics;    ///< TCP, scrapers.
};

/// Times that follow from the platform's promises.
struct FrontTimeSettings {
  /// From the order to stop until the process is killed.
  std::chrono::milliseconds grace{6000};
  /// The longest that a flow stays open.
  std::chrono::milliseconds flow_life{60'000};
  /// Within this time a change of the configuration must be in force.
  std::chrono::milliseconds apply{3000};
  /// Within this time a target that leaves must get no new flows.
  std::chrono::milliseconds drain{3000};
  /// Within this time an evacuated failure domain must get no new flows; a day
  /// if the platform promises nothing.
  std::chrono::milliseconds evacuate{std::chrono::hours{24}};
};

/// How the failure domain of a new flow is selected.
enum class LocalityMode : std::uint8_t {
  kLocal,         ///< The own one.
  kProportional,  ///< In proportion to capacity, as zone-aware routing does.
  kHeadroom,      ///< By what the domains have left.
};

/// Decisions by the load and health that instances report to each other.
struct FrontLoadSettings {
  /// Whether load is measured and exchanged; `locality` needs it.
  bool share_load{false};
  LocalityMode locality{LocalityMode::kLocal};
  /// Fraction of the own domain's slots that must be in use before new flows
  /// leave it.
  double leave_at{0.7};
  /// Whether slow and failing targets get fewer new flows.
  bool eject_targets{false};
  /// Largest fraction of a service's targets in a domain that is ejected.
  double max_ejected{0.34};
  /// Whether limits of new flows begin with the instance's share, callers take
  /// turns, and SYNs that can't be served are refused.
  bool fair_admission{false};
};

/// All settings of the process.
struct FrontSettings {
  std::string instance;  ///< Its name, for logs.
  std::string domain;    ///< Its failure domain.
  std::string region;
  /// Regions of all failure domains, by domain.
  core::RegionMap::RegionByDomain regions;
  FrontListenSettings listen;
  common::Endpoint store;
  /// Instances to ask first for others; some may be down.
  std::vector<common::Endpoint> seeds;
  FrontTimeSettings times;
  /// A cold target may get its published rate of new flows times `excess`, and
  /// `slack` flows more, in any second.
  double warmup_excess{1.0};
  double warmup_slack{0.0};
  FrontLoadSettings load;
};

/// Reads settings, JSON with comments, and checks them; all faults at once.
tl::expected<FrontSettings, core::DocumentFaults> ReadFrontSettings(
    std::string_view json);

/// Every key, for the operators' reference.
std::vector<KeyReference> FrontSettingsReference();

}  // namespace sassafrasdyke::config

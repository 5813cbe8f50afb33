/// The routes in force, and the services that they used until recently.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "common/hash.h"
#include "core/view/published.h"

namespace sassafrasdyke::core {

/// Hashes endpoints for in-process tables. Instances also rank each other by
/// this hash, so all of them must compute the same value.
struct EndpointHash {
  std::size_t operator()(const common::Endpoint& endpoint) const {
    const auto& raw = endpoint.address.Raw();
    return common::HashBytes(raw.data(), raw.size(), endpoint.port);
  }
};

/// The result of applying a configuration.
enum class ConfigurationOutcome {
  kInForce,  ///< It has replaced the previous one.
  kOlder,    ///< It isn't newer than the one in force, and was ignored.
};

/// One route in force.
struct Route {
  std::vector<ServiceShare> shares;
  std::uint64_t total_weight{0};
  /// These three as published; see PublishedRoute.
  std::optional<std::chrono::milliseconds> objective;
  std::uint32_t rank{0};
  std::vector<std::string> allowed_regions;
  /// Services that the route no longer uses, each with the time until which
  /// flows to its targets may still be open.
  std::vector<std::pair<std::string, std::chrono::milliseconds>> former;

  /// Whether new flows of this route may go to targets of `service`.
  bool Uses(std::string_view service) const;
  /// Whether a flow of this route may belong to a target of `service`: the
  /// route uses the service, or did so within the lifetime of a flow.
  bool MayUse(std::string_view service, std::chrono::milliseconds now) const;
};

/// The route's published response time target, or the default.
std::chrono::milliseconds ObjectiveOf(const Route& route);
/// The service that gets most of the route's flows.
const std::string& MainServiceOf(const Route& route);

/// The routes of the newest configuration. An instance never returns to an
/// older version than the one in force, whatever its source.
class RouteTable {
 public:
  /// `flow_life`: the maximum lifetime of a flow.
  explicit RouteTable(std::chrono::milliseconds flow_life)
      : flow_life(flow_life) {}

  /// Puts a configuration in force if it is newer than the current one.
  ConfigurationOutcome Replace(PublishedConfiguration configuration,
                               std::chrono::milliseconds now);

  bool Loaded() const { return this->version != 0; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  /// Whether some route allows certain regions only.
  bool RestrictsRegions() const { return this->restricts_regions; }
  std::chrono::milliseconds FlowLife() const { return this->flow_life; }
  /// The published limit of the service's cold targets; see PublishedService.
  std::optional<double> WarmupRate(const std::string& service) const;
  /// How long ago the address's route was withdrawn; nothing if it has one, or
  /// had none within the lifetime of a flow.
  std::optional<std::chrono::milliseconds> WithdrawnFor(
      const common::Endpoint& address, std::chrono::milliseconds now) const;
  /// The route of this address; null if there is none.
  const Route* Find(const common::Endpoint& address) const;

 private:
  std::chrono::milliseconds flow_life;
  std::uint64_t version{0};
  bool restricts_regions{false};
  std::unordered_map<common::Endpoint, Route, EndpointHash> routes;
  /// Addresses whose route was withdrawn, each with the time until which its
  /// flows may still be open.
  std::unordered_map<common::Endpoint, std::chrono::milliseconds, EndpointHash>
      withdrawn;
  std::unordered_map<std::string, double> warmup_rates;  ///< By service.
};

}  // namespace sassafrasdyke::core

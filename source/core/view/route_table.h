/// The routes in force, and the services that a route has used lately.
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

/// Hashes endpoints for tables that never leave the process.
struct EndpointHash {
  std::size_t operator()(const common::Endpoint& endpoint) const {
    const auto& raw = endpoint.address.Raw();
    return common::HashBytes(raw.data(), raw.size(), endpoint.port);
  }
};

/// What became of a configuration.
enum class ConfigurationOutcome { kInForce, kOlder };

/// One route.
struct Route {
  std::vector<ServiceShare> shares;
  std::uint32_t total_weight{0};
  /// As published; see PublishedRoute.
  std::optional<std::chrono::milliseconds> objective;
  std::uint32_t rank{0};
  /// Services that the route no longer names, and until when their flows may
  /// still be open.
  std::vector<std::pair<std::string, std::chrono::milliseconds>> former;

  /// Whether a flow of this route may be at a target of `service`.
  bool MayUse(std::string_view service, std::chrono::milliseconds now) const;
};

/// How soon callers of the route want their answers.
std::chrono::milliseconds ObjectiveOf(const Route& route);

/// The newest configuration. Versions only grow: an instance that has put one
/// in force never returns to an older one, whoever offers it.
class RouteTable {
 public:
  /// `flow_life`: the longest that a flow stays open.
  explicit RouteTable(std::chrono::milliseconds flow_life)
      : flow_life(flow_life) {}

  ConfigurationOutcome Replace(PublishedConfiguration configuration,
                               std::chrono::milliseconds now);

  bool Loaded() const { return this->version != 0; }
  std::uint64_t Version() const { return this->version; }
  std::size_t Size() const { return this->routes.size(); }
  std::chrono::milliseconds FlowLife() const { return this->flow_life; }
  /// Null when there is no such route.
  const Route* Find(const common::Endpoint& address) const;

 private:
  std::chrono::milliseconds flow_life;
  std::uint64_t version{0};
  std::unordered_map<common::Endpoint, Route, EndpointHash> routes;
};

}  // namespace sassafrasdyke::core

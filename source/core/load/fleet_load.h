/// The load of the whole fleet, as far as one instance knows it.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasdyke::core {

/// Load at the targets of a service in one failure domain, from the callers of
/// all domains.
struct DomainLoad {
  std::string domain;
  double requests_per_s{0};
  /// Mean number of requests that are at the targets at once, queued ones
  /// included.
  double concurrency{0};
  /// Requests of the domain's own callers, to targets in whatever domain;
  /// nothing while no report of the domain is known.
  std::optional<double> callers_requests_per_s;
  /// Whether instances of the domain have been heard of lately.
  bool reachable{true};
  /// Age of the oldest report that is part of it.
  std::chrono::milliseconds age{0};
  std::size_t reporters{0};  ///< Instances whose reports are part of it.
};

/// False for a domain that the reports show to be cut off; a domain without a
/// report counts as reachable.
bool IsReachable(const std::vector<DomainLoad>& loads,
                 const std::string& domain);

/// What decisions under load ask. Values change between ticks only, and a
/// lookup is cheap enough for each new flow.
class FleetLoad {
 public:
  virtual ~FleetLoad() = default;

  /// Load by domain of the service's targets; empty while too little is known
  /// to decide by it.
  virtual const std::vector<DomainLoad>& Of(
      const std::string& service) const = 0;
  /// Number of instances that share the callers of the own failure domain, this
  /// one included; nothing while it isn't known.
  virtual std::optional<std::size_t> DomainInstances() const = 0;
};

/// Knows nothing: decisions are made as without reports.
class UnknownFleetLoad final : public FleetLoad {
 public:
  const std::vector<DomainLoad>& Of(
      const std::string& /*service*/) const override {
    return this->none;
  }
  std::optional<std::size_t> DomainInstances() const override {
    return std::nullopt;
  }

 private:
  std::vector<DomainLoad> none;
};

}  // namespace sassafrasdyke::core

/// Detects when the callers of the own failure domain need more than its share
/// of the slots, and when they no longer do.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/load/fleet_load.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// The own domain's demand for a service has crossed the bound at which new
/// flows leave.
struct ShareChange {
  std::string domain;  ///< The own one.
  std::string service;
  bool over{false};
  double demand{0};       ///< Of the domain's callers; 0 when it isn't known.
  double concurrency{0};  ///< At the domain's targets, of all callers.
  double slots{0};        ///< Of the domain's targets that take new flows.
  std::chrono::milliseconds age{0};  ///< Of the data.
  std::size_t reporters{0};
};

/// Follows the own domain's demand for each service.
class ShareMonitor {
 public:
  /// `leave_at`: the utilization at which new flows begin to leave. The tables
  /// must outlive this.
  ShareMonitor(std::string domain, double leave_at, const TargetTable& targets,
               const FleetLoad& load)
      : domain(std::move(domain)),
        leave_at(leave_at),
        targets(targets),
        load(load) {}

  /// Returns the changes since the last call. A service whose load is no longer
  /// known isn't over its share.
  std::vector<ShareChange> OnTick();

 private:
  /// The present state of the service; `over` is as before.
  ShareChange StateOf(const std::string& service) const;
  bool IsOver(const ShareChange& state) const;

  const std::string domain;
  const double leave_at;
  const TargetTable& targets;
  const FleetLoad& load;
  std::unordered_set<std::string> over;  ///< Services.
};

}  // namespace sassafrasdyke::core

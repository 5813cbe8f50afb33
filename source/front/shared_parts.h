/// The parts that decide by what instances observe and tell each other, as the
/// settings switch them on.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/front_settings.h"
#include "core/load/load_board.h"
#include "core/load/load_meter.h"
#include "core/load/share_monitor.h"
#include "core/roster/peer_sync.h"
#include "core/steering/shared_observations.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::front {

/// Owns the parts. Times are monotonic.
class SharedParts {
 public:
  /// `targets` must outlive the parts.
  SharedParts(const config::FrontSettings& settings,
              const core::TargetTable& targets);
  SharedParts(const SharedParts&) = delete;
  SharedParts& operator=(const SharedParts&) = delete;

  /// What steering asks and tells; nothing is known while all parts are off.
  const core::SharedObservations& Observations() const {
    return this->observations;
  }
  /// Those who exchange observations with peers; empty while all parts are off.
  const core::PeerSync::Observers& Exchanges() const { return this->exchanges; }
  /// Called ten times a second. `domain_instances`: see LoadBoard.
  void OnTick(std::chrono::milliseconds now, std::size_t domain_instances);
  /// See LoadBoard.
  std::vector<core::DomainLoad> TakeReachabilityChanges();
  /// See ShareMonitor; empty while flows stay in the own domain.
  std::vector<core::ShareChange> TakeShareChanges();

  /// Load of all services by domain; empty while load isn't shared.
  std::vector<core::DomainLoad> DomainLoads() const;
  std::uint64_t InvalidReports() const;

 private:
  /// Load reports.
  struct LoadSharing {
    LoadSharing(const std::string& domain, const core::TargetTable& targets)
        : meter(targets), board(domain, this->meter) {}

    core::LoadMeter meter;
    core::LoadBoard board;
  };

  const core::FleetLoad& Load() const;
  std::vector<core::RequestObserver*> Observers() const;
  core::PeerSync::Observers MakeExchanges() const;

  const std::unique_ptr<LoadSharing> load;  ///< Null while load isn't shared.
  const std::unique_ptr<const core::LocalityPolicy> locality;
  /// Null while flows stay in the own domain.
  const std::unique_ptr<core::ShareMonitor> share_monitor;
  const core::SharedObservations observations;
  const core::PeerSync::Observers exchanges;
};

}  // namespace sassafrasdyke::front

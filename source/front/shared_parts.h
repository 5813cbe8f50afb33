/// The parts that decide by what instances observe and tell each other, as the
/// settings switch them on.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/front_settings.h"
#include "core/health/outlier_detector.h"
#include "core/health/target_observations.h"
#include "core/load/load_board.h"
#include "core/load/load_meter.h"
#include "core/load/share_monitor.h"
#include "core/roster/peer_sync.h"
#include "core/steering/shared_observations.h"
#include "core/view/target_table.h"
#include "front/pause_detector.h"

namespace sassafrasdyke::front {

/// Owns the parts. Times are monotonic.
class SharedParts final : public PauseListener {
 public:
  /// `targets` must outlive the parts.
  /// `seed` must differ between instances.
  SharedParts(const config::FrontSettings& settings,
              const core::TargetTable& targets, std::uint64_t seed);
  SharedParts(const SharedParts&) = delete;
  SharedParts& operator=(const SharedParts&) = delete;

  /// What steering asks and tells; nothing is known while all parts are off.
  const core::SharedObservations& Observations() const {
    return this->observations;
  }
  /// Those who exchange observations with peers; empty while all parts are off.
  const core::PeerSync::Observers& Exchanges() const { return this->exchanges; }
  /// Called ten times a second. `domain_instances`: see LoadBoard. Probes of
  /// targets that others report as silent are requested of `watch`.
  void OnTick(core::TargetWatch& watch, std::size_t domain_instances,
              std::chrono::milliseconds now);
  void OnPause(std::chrono::milliseconds length,
               std::chrono::milliseconds now) override;
  /// See OutlierDetector.
  std::vector<core::HealthChange> TakeHealthChanges();
  std::optional<core::UrgentReceivers> TakeUrgent();
  std::map<std::string_view, std::size_t> TargetsByHealth() const;
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

  /// Health of targets.
  struct HealthSharing {
    HealthSharing(const config::FrontSettings& settings,
                  const core::TargetTable& targets, const core::FleetLoad& load,
                  std::uint64_t seed)
        : observations(targets),
          detector(settings.domain, targets, load, this->observations,
                   settings.load.max_ejected, seed) {}

    core::TargetObservations observations;
    core::OutlierDetector detector;
  };

  const core::FleetLoad& Load() const;
  const core::TargetWeights& Weights() const;
  std::vector<core::RequestObserver*> Observers() const;
  core::PeerSync::Observers MakeExchanges() const;

  const std::unique_ptr<LoadSharing> load;  ///< Null while load isn't shared.
  const std::unique_ptr<HealthSharing> health;  ///< Null while it isn't shared.
  const std::unique_ptr<const core::LocalityPolicy> locality;
  /// Null while flows stay in the own domain.
  const std::unique_ptr<core::ShareMonitor> share_monitor;
  const core::SharedObservations observations;
  const core::PeerSync::Observers exchanges;
};

}  // namespace sassafrasdyke::front

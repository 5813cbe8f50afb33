/// The parts of one instance that share observations with others, as the
/// settings switch them on.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/front_settings.h"
#include "core/health/outlier_detector.h"
#include "core/health/target_observations.h"
#include "core/load/load_board.h"
#include "core/load/load_meter.h"
#include "core/load/observation_exchange.h"
#include "core/steering/shared_observations.h"
#include "core/view/live_view.h"
#include "rig/load/balancer_variant.h"

namespace sassafrasdyke::rig {

class SharedParts {
 public:
  /// `view` must outlive the parts.
  SharedParts(const config::FrontLoadSettings& settings, ModelPlace place,
              const core::LiveView& view);

  /// What FlowSteering gets; valid as long as the parts are.
  const core::SharedObservations& Observations() const {
    return *this->observations;
  }
  void OnTick(core::TargetWatch& watch, std::chrono::milliseconds now);
  void Append(core::PeerObservations& observations,
              std::chrono::milliseconds now);
  void OnObservations(const common::Endpoint& sender, const std::string& domain,
                      const core::PeerObservations& observations,
                      std::chrono::milliseconds now);

 private:
  const ModelPlace place;
  std::optional<std::chrono::milliseconds> started_at;
  /// Both only while load is shared.
  std::optional<core::LoadMeter> meter;
  std::optional<core::LoadBoard> board;
  // In place of parts that are switched off.
  core::UnknownFleetLoad unknown_load;
  core::EqualTargetWeights equal_weights;
  /// Both only while target health is shared.
  std::optional<core::TargetObservations> target_observations;
  std::optional<core::OutlierDetector> detector;
  std::unique_ptr<const core::LocalityPolicy> locality;
  std::vector<core::ObservationExchange*> exchanges;
  std::optional<core::SharedObservations> observations;
};

}  // namespace sassafrasdyke::rig

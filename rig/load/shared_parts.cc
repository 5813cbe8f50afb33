#include "rig/load/shared_parts.h"

#include <utility>

#include "front/locality_setting.h"

namespace sassafrasdyke::rig {
namespace {

/// How long an instance that has just started knows of no other.
constexpr std::chrono::milliseconds kMeetsOthersAfter{1000};

}  // namespace

SharedParts::SharedParts(const config::FrontLoadSettings& settings,
                         ModelPlace place, const core::LiveView& view)
    : place(std::move(place)), locality(front::MakeLocality(settings)) {
  const core::FleetLoad* load = &this->unknown_load;
  std::vector<core::RequestObserver*> observers;
  if (settings.share_load) {
    core::LoadMeter& measured = this->meter.emplace(view.Targets());
    load = &this->board.emplace(this->place.domain, measured);
    observers.push_back(&measured);
    this->exchanges.push_back(&*this->board);
  }
  const core::TargetWeights* weights = &this->equal_weights;
  if (settings.share_load && settings.eject_targets) {
    core::TargetObservations& seen =
        this->target_observations.emplace(view.Targets());
    weights =
        &this->detector.emplace(this->place.domain, view.Targets(), *load, seen,
                                settings.max_ejected, this->place.seed);
    observers.push_back(&seen);
    this->exchanges.push_back(&*this->detector);
  }
  this->observations.emplace(
      core::SharedObservations{*load, *weights, *this->locality,
                               std::move(observers), settings.fair_admission});
}

void SharedParts::OnTick(core::TargetWatch& watch,
                         std::chrono::milliseconds now) {
  this->started_at = this->started_at.value_or(now);
  const bool knows_others = now - *this->started_at >= kMeetsOthersAfter;
  if (this->board) {
    this->board->OnTick(now, knows_others ? this->place.domain_instances : 1);
  }
  if (this->detector) {
    this->detector->OnTick(watch, now);
  }
}

void SharedParts::Append(core::PeerObservations& observations,
                         std::chrono::milliseconds now) {
  for (core::ObservationExchange* const exchange : this->exchanges) {
    exchange->Append(observations, now);
  }
}

void SharedParts::OnObservations(const common::Endpoint& sender,
                                 const std::string& domain,
                                 const core::PeerObservations& observations,
                                 std::chrono::milliseconds now) {
  for (core::ObservationExchange* const exchange : this->exchanges) {
    exchange->OnObservations(sender, domain, observations, now);
  }
}

}  // namespace sassafrasdyke::rig

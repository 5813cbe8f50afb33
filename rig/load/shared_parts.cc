#include "rig/load/shared_parts.h"

namespace sassafrasdyke::rig {

SharedParts::SharedParts(const config::FrontLoadSettings& settings,
                         const ModelPlace& /*place*/,
                         const core::LiveView& /*view*/)
    : load(std::make_unique<core::UnknownFleetLoad>()),
      weights(std::make_unique<core::EqualTargetWeights>()),
      locality(std::make_unique<core::OwnDomainLocality>()),
      observations{*this->load,
                   *this->weights,
                   *this->locality,
                   {},
                   settings.fair_admission} {}

void SharedParts::OnTick(std::chrono::milliseconds /*now*/) {}

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

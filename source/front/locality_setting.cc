#include "front/locality_setting.h"

#include "core/steering/headroom_locality.h"
#include "core/steering/proportional_locality.h"

namespace sassafrasdyke::front {

std::unique_ptr<const core::LocalityPolicy> MakeLocality(
    const config::FrontLoadSettings& settings) {
  const auto mode =
      settings.share_load ? settings.locality : config::LocalityMode::kLocal;
  switch (mode) {
    case config::LocalityMode::kProportional:
      return std::make_unique<core::ProportionalLocality>(settings.leave_at);
    case config::LocalityMode::kHeadroom:
      return std::make_unique<core::HeadroomLocality>(settings.leave_at);
    case config::LocalityMode::kLocal:
      break;
  }
  return std::make_unique<core::OwnDomainLocality>();
}

}  // namespace sassafrasdyke::front

/// The locality policy that the settings select.
#pragma once

#include <memory>

#include "config/front_settings.h"
#include "core/steering/locality_policy.h"

namespace sassafrasdyke::front {

/// Never null. Without `share_load` every flow stays in its domain.
std::unique_ptr<const core::LocalityPolicy> MakeLocality(
    const config::FrontLoadSettings& settings);

}  // namespace sassafrasdyke::front

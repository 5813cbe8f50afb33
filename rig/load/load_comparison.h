/// The policies side by side on one load scenario.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "rig/load/load_model.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {

/// This version and the plain policies.
inline constexpr PolicyVariant kPolicyVariants[] = {PolicyVariant::kThisVersion,
                                                    PolicyVariant::kNoAdmission,
                                                    PolicyVariant::kHash};

/// The least part of what the better plain policy serves that this version may
/// serve.
inline constexpr double kLeastRatio = 0.99;

/// What one deployment gave.
struct LoadComparison {
  LoadScenario scenario;
  std::map<PolicyVariant, LoadOutcome> outcomes;

  double Worth(PolicyVariant variant) const;
  /// Of this version, to the better of the plain policies and the version
  /// before, as far as these were played.
  double Ratio() const;
};

LoadComparison Compare(
    const LoadScenario& scenario,
    std::span<const PolicyVariant> variants = kPolicyVariants);

}  // namespace sassafrasdyke::rig

#include "rig/load/load_comparison.h"

#include <algorithm>

namespace sassafrasdyke::rig {

double LoadComparison::Worth(PolicyVariant variant) const {
  return WorthOf(this->outcomes.at(variant).Sum());
}

double LoadComparison::Ratio() const {
  const double plain = std::max(this->Worth(PolicyVariant::kNoAdmission),
                                this->Worth(PolicyVariant::kHash));
  return plain == 0 ? 1.0 : this->Worth(PolicyVariant::kThisVersion) / plain;
}

LoadComparison Compare(const LoadScenario& scenario) {
  LoadComparison compared{scenario, {}};
  for (const PolicyVariant variant : kPolicyVariants) {
    compared.outcomes[variant] = LoadModel(scenario, variant).Play();
  }
  return compared;
}

}  // namespace sassafrasdyke::rig

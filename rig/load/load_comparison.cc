#include "rig/load/load_comparison.h"

#include <algorithm>

namespace sassafrasdyke::rig {

double LoadComparison::Worth(PolicyVariant variant) const {
  const auto found = this->outcomes.find(variant);
  return found == this->outcomes.end() ? 0.0 : WorthOf(found->second.Sum());
}

double LoadComparison::Ratio() const {
  const double plain = std::max({this->Worth(PolicyVariant::kNoAdmission),
                                 this->Worth(PolicyVariant::kHash),
                                 this->Worth(PolicyVariant::kVersionBefore)});
  return plain == 0 ? 1.0 : this->Worth(PolicyVariant::kThisVersion) / plain;
}

LoadComparison Compare(const LoadScenario& scenario,
                       std::span<const PolicyVariant> variants) {
  LoadComparison compared{scenario, {}};
  for (const PolicyVariant variant : variants) {
    compared.outcomes[variant] = LoadModel(scenario, variant).Play();
  }
  return compared;
}

}  // namespace sassafrasdyke::rig

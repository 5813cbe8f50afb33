/// TargetWeights whose values a test sets; other targets are healthy.
#pragma once

#include <unordered_map>
#include <utility>

#include "core/health/target_weights.h"

namespace sassafrasdyke::core {

struct FixedTargetWeights final : public TargetWeights {
  double WeightOf(TargetIndex target) const override {
    const auto found = this->weights.find(target);
    return found == this->weights.end() ? 1.0 : found->second.first;
  }
  OutlierState StateOf(TargetIndex target) const override {
    const auto found = this->weights.find(target);
    return found == this->weights.end() ? OutlierState::kHealthy
                                        : found->second.second;
  }

  std::unordered_map<TargetIndex, std::pair<double, OutlierState>> weights;
};

}  // namespace sassafrasdyke::core

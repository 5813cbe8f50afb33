/// How much of its share of new flows each target gets by its health.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// The state of a target, as far as the instances of the domain observe it.
enum class OutlierState : std::uint8_t {
  kHealthy,
  kSlow,     ///< Answers take several times those of the service's others.
  kFailing,  ///< Many requests fail while those of the others don't.
  kSilent,   ///< Probes of some instance have confirmed that it doesn't answer.
  kReturning,  ///< Was ejected, and gets trial flows or a growing share.
};

/// Name of the state in logs and metrics.
std::string_view Word(OutlierState state);

/// What placing asks for each candidate of a new flow.
class TargetWeights {
 public:
  virtual ~TargetWeights() = default;

  /// Share of the flows that a healthy target would get: 0 (none) to 1.
  virtual double WeightOf(TargetIndex target) const = 0;
  virtual OutlierState StateOf(TargetIndex target) const = 0;
};

/// Takes every target for healthy.
class EqualTargetWeights final : public TargetWeights {
 public:
  double WeightOf(TargetIndex /*target*/) const override { return 1.0; }
  OutlierState StateOf(TargetIndex /*target*/) const override {
    return OutlierState::kHealthy;
  }
};

}  // namespace sassafrasdyke::core

#include "core/steering/shared_observations.h"

namespace sassafrasdyke::core {

const SharedObservations& NoSharedObservations() {
  static const UnknownFleetLoad load;
  static const EqualTargetWeights weights;
  static const OwnDomainLocality locality;
  static const SharedObservations none{load, weights, locality, {}};
  return none;
}

}  // namespace sassafrasdyke::core

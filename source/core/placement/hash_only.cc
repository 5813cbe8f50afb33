#include "core/placement/hash_only.h"

namespace sassafrasdyke::core {

std::size_t HashOnly::Choose(const PlacementQuery& /*query*/) const {
  return 0;
}

}  // namespace sassafrasdyke::core

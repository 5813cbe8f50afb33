#include "core/placement/least_loaded.h"

#include "common/hash.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kAlternativeSalt = 0x616C7465726EULL;

}  // namespace

std::size_t LeastLoaded::Choose(const PlacementQuery& query) const {
  const std::size_t others = query.options.size() - 1;
  if (others == 0) {
    return 0;
  }
  // Comparing with every option would send all new flows of the partition to a
  // target that has just returned without flows, until its count of open flows
  // has caught up: hours with long flows. With a single hashed alternative it
  // gets at most its hash share.
  const std::uint64_t hash =
      common::HashNumbers(query.flow.value, others, kAlternativeSalt);
  const std::size_t other = 1 + static_cast<std::size_t>(hash % others);
  const double limit = query.options[other].load + query.deviate_by;
  return query.options[0].load > limit ? other : 0;
}

}  // namespace sassafrasdyke::core

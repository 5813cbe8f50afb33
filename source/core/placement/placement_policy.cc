#include "core/placement/placement_policy.h"

#include <algorithm>
#include <array>

#include "core/placement/hash_only.h"
#include "core/placement/least_loaded.h"

namespace sassafrasdyke::core {
namespace {

struct Registration {
  std::string_view name;
  const PlacementPolicy* policy;
};

const HashOnly kHashOnly;
const LeastLoaded kLeastLoaded;

/// Add an entry here to register a new policy.
const std::array kRegistry{
    Registration{"hash-only", &kHashOnly},
    Registration{"least-loaded", &kLeastLoaded},
};

}  // namespace

const PlacementPolicy* FindPlacementPolicy(std::string_view name) {
  const auto* const found = std::find_if(
      kRegistry.begin(), kRegistry.end(),
      [name](const Registration& entry) { return entry.name == name; });
  return found == kRegistry.end() ? nullptr : found->policy;
}

std::vector<std::string_view> PlacementPolicyNames() {
  std::vector<std::string_view> names;
  names.reserve(kRegistry.size());
  for (const Registration& entry : kRegistry) {
    names.push_back(entry.name);
  }
  return names;
}

}  // namespace sassafrasdyke::core

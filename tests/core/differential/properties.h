/// The properties that random histories must have.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <string>

namespace sassafrasdyke::core::testing {

/// Which events a property's histories are made of.
enum class Mix {
  kPlanned,  ///< What operators and callers do: no flow may break.
  kAny,      ///< Faults, too: the promises hold, flows may break.
};

/// How many histories a check tries, from which seed.
struct Trials {
  Mix mix{Mix::kPlanned};
  std::uint64_t seed{1};
  int histories{20};
  /// Looks for the shortest history that fails; takes up to a minute.
  bool shrinks{true};
};

/// Tries histories, and shrinks the first that fails. Returns what is wrong,
/// empty when nothing is.
std::string Check(const Trials& trials);

}  // namespace sassafrasdyke::core::testing

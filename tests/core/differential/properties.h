/// Property-based checks of random histories.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <string>

namespace sassafrasdyke::core::testing {

/// Which kinds of events the histories contain.
enum class Mix {
  kPlanned,  ///< Actions of operators and callers: no flow may break.
  kAny,      ///< Faults, too: flows may break, the guarantees hold.
};

/// The number of random histories that a check runs, and their seed.
struct Trials {
  Mix mix{Mix::kPlanned};
  std::uint64_t seed{1};
  int histories{20};
  /// Shrinks a failing history; takes up to a minute.
  bool shrinks{true};
};

/// Runs random histories and shrinks the first that fails. Returns a
/// description of the failure, empty when there is none.
std::string Check(const Trials& trials);

}  // namespace sassafrasdyke::core::testing

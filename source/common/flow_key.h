/// What names a flow: the caller's and the service's address and port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::common {

/// The two ends of a TCP flow, from caller to service.
struct FlowKey {
  Endpoint caller;
  Endpoint service;

  /// "SRC:PORT->DST:PORT", as logs and `explain --flow` write it.
  std::string ToString() const;

  // NOLINTNEXTLINE(modernize-use-nullptr): the defaulted operator has none.
  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// Hashes all 36 bytes of the key with xxHash (XXH3, 64 bits).
Fingerprint FingerprintOf(const FlowKey& flow, std::uint64_t seed);

}  // namespace sassafrasdyke::common

/// What an instance says first on a stream that it opens.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"

namespace sassafrasdyke::peer {

/// Names a version of the protocol between instances.
using ProtocolVersion = std::uint32_t;

/// The versions that an instance speaks, both ends included.
struct VersionRange {
  ProtocolVersion lowest{0};
  ProtocolVersion highest{0};

  friend bool operator==(const VersionRange&, const VersionRange&) = default;
};

/// What this release speaks. A new version is added above and the lowest goes
/// only when no release that needs it runs any more: with a single version,
/// the instances of a rolling upgrade would refuse each other, and each half
/// would take the other's partitions for orphaned.
inline constexpr VersionRange kSpokenVersions{1, 3};

/// The version that both use; nothing when they have none in common.
inline std::optional<ProtocolVersion> HighestCommon(const VersionRange& one,
                                                    const VersionRange& other) {
  const ProtocolVersion highest = std::min(one.highest, other.highest);
  const bool common = highest >= std::max(one.lowest, other.lowest);
  return common ? std::optional(highest) : std::nullopt;
}

/// Who opens the stream, and whom it means to reach. Its form is the same in
/// all versions, since it comes before one is chosen.
struct Hello {
  VersionRange versions{kSpokenVersions};
  std::string fleet;
  common::InstanceId from;
  common::Incarnation incarnation;
  common::InstanceId to;

  friend bool operator==(const Hello&, const Hello&) = default;
};

}  // namespace sassafrasdyke::peer

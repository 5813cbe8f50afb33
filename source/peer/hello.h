/// What an instance says first on a stream that it opens.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.h"

namespace sassafrasdyke::peer {

/// The version of the protocol between instances; others are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Who opens the stream, and whom it means to reach.
struct Hello {
  std::uint32_t version{kProtocolVersion};
  std::string fleet;
  common::InstanceId from;
  common::Incarnation incarnation;
  common::InstanceId to;

  friend bool operator==(const Hello&, const Hello&) = default;
};

}  // namespace sassafrasdyke::peer

/// What instances send each other, as MessagePack. Decoding trusts nothing: a
/// datagram may come from anybody.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/roster/peer_digest.h"

namespace sassafrasdyke::front {

/// A view, or what another one lacks, as it goes over a stream.
struct ViewCopy {
  core::ViewMark mark;
  core::ItemDelta delta;
};

std::vector<std::uint8_t> EncodeDigest(const core::PeerDigest& digest);
/// Nothing when the bytes are no digest of this version.
std::optional<core::PeerDigest> DecodeDigest(
    std::span<const std::uint8_t> bytes);

std::string EncodeCopy(const ViewCopy& copy);
std::optional<ViewCopy> DecodeCopy(const std::string& bytes);

}  // namespace sassafrasdyke::front

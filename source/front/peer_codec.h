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
  core::ViewStatus mark;
  core::ItemDelta delta;
};

std::vector<std::uint8_t> EncodeDigest(const core::PeerDigest& digest);
/// Nothing when the bytes are no digest of this version.
std::optional<core::PeerDigest> DecodeDigest(
    std::span<const std::uint8_t> bytes);

/// The items of a copy, compressed: the entries of targets are much alike, and
/// on a small link a copy that isn't compressed delays clients' packets.
std::string EncodeItems(const core::ItemDelta& delta);
/// A copy around items that were encoded before.
std::string EncodeCopy(const core::ViewStatus& mark, const std::string& items);
std::optional<ViewCopy> DecodeCopy(const std::string& bytes);

}  // namespace sassafrasdyke::front

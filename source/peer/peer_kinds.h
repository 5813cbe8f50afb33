/// The kinds of messages as numbers and as words.
#pragma once

#include <cstddef>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "core/messages.h"
#include "peer/hello.h"

namespace sassafrasdyke::peer {

/// How many kinds of messages there are.
inline constexpr std::size_t kKinds = std::variant_size_v<core::PeerMessage>;

/// The position of `Message` in the variant, which is its number on the wire.
template <typename Message, std::size_t kAt = 0>
constexpr std::size_t PositionOf() {
  using Here = std::variant_alternative_t<kAt, core::PeerMessage>;
  if constexpr (std::is_same_v<Here, Message>) {
    return kAt;
  } else {
    return PositionOf<Message, kAt + 1>();
  }
}

template <typename Message>
inline constexpr std::size_t kKindOf = PositionOf<Message>();

/// The first version of the protocol that has the kind. A message of a later
/// one than a stream's isn't sent there: the peer would end the stream.
constexpr ProtocolVersion FirstVersionOf(std::size_t kind) {
  if (kind >= kKindOf<core::OwnershipGrant>) {
    return 3;
  }
  return kind == kKindOf<core::OpeningsKnown> ? 2 : 1;
}

/// The metrics' word for a kind; "unknown" for another number.
std::string_view KindWord(std::size_t kind);

}  // namespace sassafrasdyke::peer

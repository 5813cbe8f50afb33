/// Turns messages between instances into MessagePack bytes and back. Decoding
/// trusts nothing: a peer may be broken, or not a peer at all.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/messages.h"
#include "peer/hello.h"

namespace sassafrasdyke::peer {

/// Greatest encoded message: a document of 1 MiB with what its entries add.
inline constexpr std::size_t kMessageLimit = (1U << 20U) + (1U << 18U);
/// Greatest encoded hello.
inline constexpr std::size_t kHelloLimit = 512;

/// Why bytes are not a message.
enum class CodecFault {
  kTooLong,      ///< More bytes than a message may have.
  kMalformed,    ///< Not MessagePack, or over a bound of sizes or depth.
  kTrailing,     ///< Bytes after the message.
  kUnknownKind,  ///< A kind that this version doesn't know.
  kWrongFields,  ///< Other fields, types or ranges than the kind has.
};

/// The log's word for a fault.
std::string_view Word(CodecFault fault);

/// Bytes of `[kind, [fields...]]`; the kind is the position in the variant.
std::string Encode(const core::PeerMessage& message);
std::string Encode(const Hello& hello);

tl::expected<core::PeerMessage, CodecFault> DecodeMessage(
    std::string_view bytes);
tl::expected<Hello, CodecFault> DecodeHello(std::string_view bytes);

}  // namespace sassafrasdyke::peer

#include "datapath/gue.h"

#include <netinet/in.h>

namespace sassafrasdyke::datapath {
namespace {

constexpr std::size_t kBaseHeader = 4;
constexpr std::size_t kWord = 4;
/// Hops, purpose, grant and sender; and the same with the asker.
constexpr std::size_t kPrivateData = 8;
constexpr std::size_t kPrivateDataWithAsker = 12;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kVersionShift = 4;
constexpr unsigned kVariantShift = 6;
constexpr std::uint8_t kControlBit = 0x20;
constexpr std::uint8_t kLengthMask = 0x1F;
constexpr std::uint8_t kIpV4 = 4;
constexpr std::uint8_t kIpV6 = 6;

// Where the parts of a variant 0 header lie.
constexpr std::size_t kProtocolAt = 1;
constexpr std::size_t kFlagsAt = 2;
constexpr std::size_t kHopsAt = 4;
constexpr std::size_t kPurposeAt = 5;
constexpr std::size_t kGrantAt = 6;
constexpr std::size_t kSenderAt = 8;
constexpr std::size_t kAskerAt = 12;

/// 0 when there are no bytes.
std::uint8_t IpVersionOf(ByteView inner) {
  return inner.empty() ? 0 : inner.front() >> kVersionShift;
}

std::uint8_t ProtocolOf(ByteView inner) {
  return IpVersionOf(inner) == kIpV6 ? IPPROTO_IPV6 : IPPROTO_IPIP;
}

std::uint32_t ReadBigEndian32(ByteView bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < sizeof(value); ++i) {
    value = (value << kBitsPerByte) | bytes[i];
  }
  return value;
}

std::uint16_t ReadBigEndian16(ByteView bytes) {
  return static_cast<std::uint16_t>((bytes[0] << kBitsPerByte) | bytes[1]);
}

void WriteBigEndian16(std::uint16_t value, std::span<std::uint8_t> bytes) {
  bytes[0] = static_cast<std::uint8_t>(value >> kBitsPerByte);
  bytes[1] = static_cast<std::uint8_t>(value);
}

void WriteBigEndian32(std::uint32_t value, std::span<std::uint8_t> bytes) {
  for (std::size_t i = sizeof(value); i > 0; --i) {
    bytes[i - 1] = static_cast<std::uint8_t>(value);
    value >>= kBitsPerByte;
  }
}

/// Reads `extra` bytes of private data; nothing when they make no sense.
std::optional<core::Arrival> ReadArrival(ByteView datagram, std::size_t extra) {
  const std::uint8_t hops = datagram[kHopsAt];
  const std::uint8_t purpose = datagram[kPurposeAt];
  if (hops == 0 ||
      purpose > static_cast<std::uint8_t>(core::HopPurpose::kAskPrevious)) {
    return std::nullopt;
  }
  const std::uint32_t asker = extra == kPrivateDataWithAsker
                                  ? ReadBigEndian32(datagram.subspan(kAskerAt))
                                  : 0;
  const bool asks =
      purpose == static_cast<std::uint8_t>(core::HopPurpose::kAskPrevious);
  if (asks && asker == 0) {
    return std::nullopt;  // Nobody to return the packet to.
  }
  return core::Arrival{.hops = hops,
                       .from = {ReadBigEndian32(datagram.subspan(kSenderAt))},
                       .purpose = static_cast<core::HopPurpose>(purpose),
                       .asker = {asker},
                       .grant = {ReadBigEndian16(datagram.subspan(kGrantAt))}};
}

tl::expected<GueDatagram, PacketFault> DecodeVariant0(ByteView datagram) {
  if (datagram.size() < kBaseHeader) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const std::uint8_t first = datagram.front();
  const std::size_t extra = (first & kLengthMask) * kWord;
  const bool has_flags = datagram[kFlagsAt] != 0 || datagram[kFlagsAt + 1] != 0;
  const bool known_length =
      extra == 0 || extra == kPrivateData || extra == kPrivateDataWithAsker;
  if ((first & kControlBit) != 0 || has_flags || !known_length) {
    return tl::unexpected(PacketFault::kBadGue);
  }
  if (datagram.size() <= kBaseHeader + extra) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  GueDatagram decoded{.inner = datagram.subspan(kBaseHeader + extra),
                      .arrival = std::nullopt};
  if (datagram[kProtocolAt] != ProtocolOf(decoded.inner)) {
    return tl::unexpected(PacketFault::kBadGue);
  }
  if (extra != 0) {
    decoded.arrival = ReadArrival(datagram, extra);
    if (!decoded.arrival) {
      return tl::unexpected(PacketFault::kBadGue);
    }
  }
  return decoded;
}

GueHeader BaseHeader(ByteView inner, std::size_t extra) {
  GueHeader header;
  header.bytes[0] = static_cast<std::uint8_t>(extra / kWord);
  header.bytes[kProtocolAt] = ProtocolOf(inner);
  header.size = kBaseHeader + extra;
  return header;
}

}  // namespace

tl::expected<GueDatagram, PacketFault> DecodeGue(ByteView datagram) {
  if (datagram.empty()) {
    return tl::unexpected(PacketFault::kTruncated);
  }
  const unsigned variant = datagram.front() >> kVariantShift;
  if (variant == 0) {
    return DecodeVariant0(datagram);
  }
  // Variant 1 has no header: the IP version's own bits mark it.
  const std::uint8_t version = IpVersionOf(datagram);
  if (version == kIpV4 || version == kIpV6) {
    return GueDatagram{.inner = datagram, .arrival = std::nullopt};
  }
  return tl::unexpected(PacketFault::kBadGue);
}

GueHeader EncodeForTarget(ByteView inner) { return BaseHeader(inner, 0); }

GueHeader EncodeForInstance(ByteView inner, const core::Arrival& arrival) {
  const bool asked = arrival.asker.value != 0;
  GueHeader header =
      BaseHeader(inner, asked ? kPrivateDataWithAsker : kPrivateData);
  header.bytes[kHopsAt] = arrival.hops;
  header.bytes[kPurposeAt] = static_cast<std::uint8_t>(arrival.purpose);
  const std::span<std::uint8_t> bytes(header.bytes);
  // Releases that know no grants send zeros here and ignore what they receive.
  WriteBigEndian16(arrival.grant.value, bytes.subspan(kGrantAt));
  WriteBigEndian32(arrival.from.value, bytes.subspan(kSenderAt));
  if (asked) {
    WriteBigEndian32(arrival.asker.value, bytes.subspan(kAskerAt));
  }
  return header;
}

}  // namespace sassafrasdyke::datapath

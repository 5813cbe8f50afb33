#include "core/fleet/message_size.h"

#include <string>

namespace sassafrasdyke::core {
namespace {

/// Header of an HTTP/2 DATA frame, length prefix of the message, and the
/// MessagePack array and type number around its fields.
constexpr std::size_t kFrameBytes = 9 + 4 + 2;
/// The header of a short array or string, a flag or a small enumerator.
constexpr std::size_t kSmallBytes = 1;

std::size_t Size(std::uint64_t number) {
  constexpr std::uint64_t kFixed = 0x80;
  constexpr std::uint64_t kOneByte = 0x100;
  constexpr std::uint64_t kTwoBytes = 0x10000;
  constexpr std::uint64_t kFourBytes = 0x100000000;
  if (number < kFixed) {
    return 1;
  }
  if (number < kOneByte) {
    return 2;
  }
  if (number < kTwoBytes) {
    return 3;
  }
  return number < kFourBytes ? 5 : 9;
}

std::size_t Size(const std::string& text) {
  constexpr std::size_t kFixedText = 32;
  return text.size() +
         (text.size() < kFixedText ? kSmallBytes : Size(text.size()));
}

std::size_t Size(const DocumentEntry& entry) {
  return kSmallBytes + Size(entry.path) + Size(entry.body);
}

std::size_t Size(const DocumentDigest& digest) {
  return 2 * kSmallBytes + Size(digest.revision.value) + Size(digest.digest);
}

std::size_t Size(const FlowException& exception) {
  return kSmallBytes + Size(exception.flow.value) +
         Size(exception.target.value);
}

std::size_t Size(const common::Fingerprint& flow) { return Size(flow.value); }

std::size_t Size(const common::InstanceId& id) { return Size(id.value); }

template <typename Item>
std::size_t Size(const std::vector<Item>& items) {
  std::size_t bytes = Size(items.size());
  for (const Item& item : items) {
    bytes += Size(item);
  }
  return bytes;
}

std::size_t Size(const Heartbeat& message) {
  return Size(message.incarnation.value) + Size(message.sequence) +
         3 * kSmallBytes + Size(message.digests) + Size(message.members) +
         Size(message.health);
}

std::size_t Size(const MemberReport& message) {
  return Size(message.about.value) + Size(message.incarnation.value) +
         Size(message.by.value) + Size(message.version) +
         Size(message.self_report_version) + kSmallBytes;
}

std::size_t Size(const DocumentRequest& message) {
  return kSmallBytes + Size(message.have);
}

std::size_t Size(const DocumentDelta& message) {
  return kSmallBytes + Size(message.from.value) + Size(message.to.value) +
         Size(message.digest) + Size(message.changed) + Size(message.removed);
}

std::size_t Size(const DocumentCopy& message) {
  return 2 * kSmallBytes + Size(message.document.revision.value) +
         Size(message.digest) + Size(message.document.entries);
}

std::size_t Size(const TargetHealthChange& message) {
  return Size(message.target.value) + kSmallBytes + Size(message.version) +
         Size(message.seen_by.value);
}

std::size_t Size(const ExceptionCopy& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) +
         Size(message.incarnation.value) + Size(message.generation) +
         Size(message.sequence) + Size(message.fallback.value) +
         2 * kSmallBytes + Size(message.added) + Size(message.ended);
}

std::size_t Size(const ExceptionCopyAck& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) +
         Size(message.incarnation.value) + Size(message.generation) +
         Size(message.sequence) + kSmallBytes;
}

std::size_t Size(const ReachabilityReport& message) {
  return Size(message.domain.value) + Size(message.by.value) +
         Size(message.version) + kSmallBytes;
}

std::size_t Size(const OpeningsKnown& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) +
         Size(static_cast<std::uint64_t>(message.known_for.count()));
}

std::size_t Size(const OwnershipGrant& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) +
         Size(message.incarnation.value) + Size(message.number.value) +
         Size(static_cast<std::uint64_t>(message.openings_known_for.count()));
}

std::size_t Size(const OwnershipGrantAck& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) +
         Size(message.incarnation.value) + Size(message.number.value);
}

std::size_t Size(const OwnerRequest& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value);
}

std::size_t Size(const OwnerReply& message) {
  return Size(message.partition.service.value) +
         Size(message.partition.partition.value) + kSmallBytes +
         Size(message.owner.value) + Size(message.likely_owners);
}

}  // namespace

std::size_t EstimatedBytes(const PeerMessage& message) {
  return kFrameBytes +
         std::visit([](const auto& body) { return Size(body); }, message);
}

}  // namespace sassafrasdyke::core

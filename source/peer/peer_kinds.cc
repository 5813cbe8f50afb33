#include "peer/peer_kinds.h"

#include <array>

namespace sassafrasdyke::peer {
namespace {

std::array<std::string_view, kKinds> MakeWords() {
  std::array<std::string_view, kKinds> words{};
  words[kKindOf<core::Heartbeat>] = "heartbeat";
  words[kKindOf<core::MemberReport>] = "member-report";
  words[kKindOf<core::DocumentRequest>] = "document-request";
  words[kKindOf<core::DocumentDelta>] = "document-delta";
  words[kKindOf<core::DocumentCopy>] = "document-copy";
  words[kKindOf<core::TargetHealthChange>] = "target-health";
  words[kKindOf<core::ExceptionCopy>] = "exception-copy";
  words[kKindOf<core::ExceptionCopyAck>] = "exception-copy-ack";
  words[kKindOf<core::ReachabilityReport>] = "reachability-report";
  words[kKindOf<core::OpeningsKnown>] = "openings-known";
  words[kKindOf<core::OwnershipGrant>] = "ownership-grant";
  words[kKindOf<core::OwnershipGrantAck>] = "ownership-grant-ack";
  words[kKindOf<core::OwnerRequest>] = "owner-request";
  words[kKindOf<core::OwnerReply>] = "owner-reply";
  return words;
}

}  // namespace

std::string_view KindWord(std::size_t kind) {
  static const std::array<std::string_view, kKinds> words = MakeWords();
  return kind < words.size() ? words[kind] : "unknown";
}

}  // namespace sassafrasdyke::peer

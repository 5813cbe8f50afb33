/// The fields of each message in the order in which they travel. Encoding and
/// decoding share these lists, so they can't differ.
#pragma once

#include <type_traits>

#include "core/messages.h"
#include "peer/hello.h"

namespace sassafrasdyke::peer {

/// `Message` is `Wanted`, const or not.
template <typename Message, typename Wanted>
concept Is = std::is_same_v<std::remove_const_t<Message>, Wanted>;

/// Each overload calls `visit` with all fields of `m` and returns its result.
template <typename Visit, Is<Hello> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.versions.lowest, m.versions.highest, m.fleet, m.from,
               m.incarnation, m.to);
}

template <typename Visit, Is<core::DocumentEntry> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.path, m.body);
}

template <typename Visit, Is<core::Document> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.kind, m.revision, m.entries);
}

template <typename Visit, Is<core::DocumentDigest> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.kind, m.revision, m.digest);
}

template <typename Visit, Is<core::Heartbeat> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.incarnation, m.sequence, m.answer, m.leaving, m.stale,
               m.digests, m.members, m.health);
}

template <typename Visit, Is<core::MemberReport> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.about, m.incarnation, m.by, m.version, m.self_report_version,
               m.state);
}

template <typename Visit, Is<core::ReachabilityReport> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.domain, m.by, m.version, m.reachable);
}

template <typename Visit, Is<core::DocumentRequest> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.kind, m.have);
}

template <typename Visit, Is<core::DocumentDelta> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.kind, m.from, m.to, m.digest, m.changed, m.removed);
}

template <typename Visit, Is<core::DocumentCopy> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.document, m.digest);
}

template <typename Visit, Is<core::TargetHealthChange> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.target, m.health, m.version, m.seen_by);
}

template <typename Visit, Is<core::PartitionKey> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.service, m.partition);
}

template <typename Visit, Is<core::FlowException> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.flow, m.target);
}

template <typename Visit, Is<core::ExceptionCopy> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.incarnation, m.generation, m.sequence, m.fallback,
               m.whole, m.last, m.added, m.ended);
}

template <typename Visit, Is<core::ExceptionCopyAck> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.incarnation, m.generation, m.sequence,
               m.resend_whole);
}

template <typename Visit, Is<core::OpeningsKnown> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.known_for);
}

template <typename Visit, Is<core::OwnershipGrant> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.incarnation, m.number, m.openings_known_for);
}

template <typename Visit, Is<core::OwnershipGrantAck> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.incarnation, m.number);
}

template <typename Visit, Is<core::OwnerRequest> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition);
}

template <typename Visit, Is<core::OwnerReply> Message>
auto VisitFields(Message& m, Visit& visit) {
  return visit(m.partition, m.knowledge, m.owner, m.likely_owners);
}

/// The greatest number that stands for a value of the enumeration.
template <typename Enum>
inline constexpr std::underlying_type_t<Enum> kGreatest = 0;
template <>
inline constexpr auto kGreatest<core::DocumentKind> =
    static_cast<std::uint8_t>(core::DocumentKind::kInstances);
template <>
inline constexpr auto kGreatest<core::MemberState> =
    static_cast<std::uint8_t>(core::MemberState::kLeaving);
template <>
inline constexpr auto kGreatest<core::TargetHealth> =
    static_cast<std::uint8_t>(core::TargetHealth::kFailing);
template <>
inline constexpr auto kGreatest<core::OwnerKnowledge> =
    static_cast<std::uint8_t>(core::OwnerKnowledge::kLost);

}  // namespace sassafrasdyke::peer
